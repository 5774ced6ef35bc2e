/** Admission control for programs. */
package org.oleandertrack.core.admission;
