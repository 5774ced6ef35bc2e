/** Stand-ins for the platform and the targets, used by tests and the demo. */
package org.oleandertrack.standins;
