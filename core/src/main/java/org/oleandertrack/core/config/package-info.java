/** The configuration that operators change. */
package org.oleandertrack.core.config;
