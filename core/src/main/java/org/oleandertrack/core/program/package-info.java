/** Turn order and the digest chain of a program's history. */
package org.oleandertrack.core.program;
