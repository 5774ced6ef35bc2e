/**
 * Starts complete deployments as separate processes on loopback, for the demo, measurements and
 * system tests. A stand-in is a process that simulates a component which Oleandertrack depends on:
 * the platform, a model engine or a service.
 */
package org.oleandertrack.system;
