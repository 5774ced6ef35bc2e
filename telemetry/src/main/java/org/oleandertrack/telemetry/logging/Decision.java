package org.oleandertrack.telemetry.logging;

/**
 * A routing or placement decision. Immutable.
 *
 * @param kind what was decided
 * @param organisation the program's organisation
 * @param program the program's id
 * @param turn the program's turn; 0 for a call outside a program
 * @param target the chosen target or entry host; empty if none was chosen
 * @param zone availability zone of the chosen target or entry host; empty if none was chosen
 * @param reason why, in a few fixed words
 */
public record Decision(
        DecisionKind kind,
        String organisation,
        String program,
        long turn,
        String target,
        String zone,
        String reason) {}
