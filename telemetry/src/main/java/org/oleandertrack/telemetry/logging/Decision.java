package org.oleandertrack.telemetry.logging;

/**
 * A routing or placement decision to be logged. Immutable.
 *
 * @param kind what was decided
 * @param organisation name of the program's organisation
 * @param program id of the program
 * @param turn number of the turn in the program; 0 for a call outside a program
 * @param target name of the chosen target or entry host; empty if none was chosen
 * @param zone availability zone of the chosen target or entry host; empty if none was chosen
 * @param reason reason in a few fixed words
 */
public record Decision(
        DecisionKind kind,
        String organisation,
        String program,
        long turn,
        String target,
        String zone,
        String reason) {}
