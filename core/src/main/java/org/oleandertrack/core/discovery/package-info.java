/** Which targets there are and whether they may get new work. */
package org.oleandertrack.core.discovery;
