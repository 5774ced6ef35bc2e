/** Stand-in for a target that is not a model engine; it echoes calls and counts executions. */
package org.oleandertrack.standins.service;
