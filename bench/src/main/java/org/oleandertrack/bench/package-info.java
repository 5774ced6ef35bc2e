/**
 * Measures of the scheduling policies against small fakes of targets on a virtual clock, each
 * beside a plain baseline under the same seeded load.
 */
package org.oleandertrack.bench;
