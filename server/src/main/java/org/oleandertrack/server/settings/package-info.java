/** Settings of the daemons: TOML files read into immutable, validated objects. */
package org.oleandertrack.server.settings;
