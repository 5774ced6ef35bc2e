/** Discovery of targets and of whether they may get new work. */
package org.oleandertrack.core.discovery;
