/** HTTP/1.1 on Netty for both sides of a proxying process, without any decision logic. */
package org.oleandertrack.http;
