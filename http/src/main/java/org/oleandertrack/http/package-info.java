/**
 * HTTP/1.1 server and client on Netty, as a proxy needs them. Contains no routing or retry logic.
 */
package org.oleandertrack.http;
