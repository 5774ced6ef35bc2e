/** Admission of whole programs. */
package org.oleandertrack.core.admission;
