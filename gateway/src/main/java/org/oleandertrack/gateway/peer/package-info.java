/** Other gateways of the deployment: how they are found, and calls that they pass on. */
package org.oleandertrack.gateway.peer;
