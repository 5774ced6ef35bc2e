/**
 * Soak tests: gateway processes run under random load and injected faults, and what callers,
 * servers and the store observe is checked against the guarantees of the gateway.
 */
package org.oleandertrack.soak;
