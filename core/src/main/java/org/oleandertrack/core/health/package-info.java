/** Target health, hedged calls, retries and stall detection. */
package org.oleandertrack.core.health;
