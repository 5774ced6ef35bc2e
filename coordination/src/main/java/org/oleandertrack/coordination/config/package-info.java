/** Distribution of the versioned configuration: a log of changes that every process folds. */
package org.oleandertrack.coordination.config;
