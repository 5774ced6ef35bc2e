/** The platform's services over HTTP and JSON. */
package org.oleandertrack.platform.http;
