/** The typed configuration document that operators change. */
package org.oleandertrack.core.config;
