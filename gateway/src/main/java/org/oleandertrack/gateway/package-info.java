/**
 * A reverse proxy that forwards HTTP requests of callers to targets. A target is one instance of a
 * service: a model engine, or a plain service such as a tool. A program is a chain of dependent
 * model calls, and a turn is one of these calls.
 */
package org.oleandertrack.gateway;
