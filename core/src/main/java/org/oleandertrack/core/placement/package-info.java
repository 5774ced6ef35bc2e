/** Selection of the target of a call, and of the targets that an entry host connects to. */
package org.oleandertrack.core.placement;
