/** Stand-in for the platform: table service, object store and host list, kept in memory. */
package org.oleandertrack.standins.platform;
