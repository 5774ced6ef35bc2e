/** Order of a program's turns, and the digest chain of its history. */
package org.oleandertrack.core.program;
