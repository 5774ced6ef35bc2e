/** Stand-in for a model engine with batching, a prefix cache and lagging reports. */
package org.oleandertrack.standins.engine;
