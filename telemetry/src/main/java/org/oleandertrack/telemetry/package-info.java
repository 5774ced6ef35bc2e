/** Logging and metrics shared by all processes of the product. */
package org.oleandertrack.telemetry;
