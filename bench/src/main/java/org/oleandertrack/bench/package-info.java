/**
 * Benchmarks of the scheduling policies of Oleandertrack. Most of them simulate targets on a
 * virtual clock; each one compares the policies with a simple baseline under the same seeded load.
 *
 * <p>A load consists of programs. A program is a chain of model calls, in which each call, a turn
 * of the program, starts after the answer to the previous one. An entry host places calls on
 * targets.
 */
package org.oleandertrack.bench;
