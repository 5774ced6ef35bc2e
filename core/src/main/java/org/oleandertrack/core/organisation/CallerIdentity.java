package org.oleandertrack.core.organisation;

/** What is known about the sender of a request. */
public sealed interface CallerIdentity {

    /** The configuration has no organisations, so nobody is authenticated. */
    record Unchecked() implements CallerIdentity {}

    /** The request belongs to no organisation; its route is open to everybody. */
    record Anonymous() implements CallerIdentity {}

    /** The request carries a valid key of an organisation. */
    record Member(Organisation organisation) implements CallerIdentity {}
}
