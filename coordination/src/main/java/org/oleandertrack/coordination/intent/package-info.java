/** Durable intents of calls that may run at most once, and the answers of these calls. */
package org.oleandertrack.coordination.intent;
