/** Health of targets, hedged calls and retries. */
package org.oleandertrack.core.health;
