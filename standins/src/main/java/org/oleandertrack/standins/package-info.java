/** Stand-ins that simulate the platform and the targets over HTTP, for tests and the demo. */
package org.oleandertrack.standins;
