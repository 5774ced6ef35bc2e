/** Stand-in for the platform: in-memory table service, object store and host list. */
package org.oleandertrack.standins.platform;
