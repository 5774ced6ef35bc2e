/** Starts whole deployments as separate processes on loopback, for the demo and for tests. */
package org.oleandertrack.system;
