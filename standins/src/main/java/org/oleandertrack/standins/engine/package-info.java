/** Stand-in for a model engine with slots, a prefix cache, and delayed load and event reports. */
package org.oleandertrack.standins.engine;
