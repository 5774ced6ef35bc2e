/**
 * Handling of a call, which is one request of a caller: budget reservation, placement on a target,
 * retries, and forwarding of the response.
 */
package org.oleandertrack.gateway.call;
