/** Randomized runs of real gateway processes under faults, with checks of what they promise. */
package org.oleandertrack.soak;
