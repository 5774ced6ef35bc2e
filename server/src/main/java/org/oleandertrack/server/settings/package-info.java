/** Settings of the daemons, read from TOML files into validated objects. */
package org.oleandertrack.server.settings;
