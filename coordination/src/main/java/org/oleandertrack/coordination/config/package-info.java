/**
 * Distribution of the versioned configuration as a log of changes. Every process applies all
 * changes in the order of their versions.
 */
package org.oleandertrack.coordination.config;
