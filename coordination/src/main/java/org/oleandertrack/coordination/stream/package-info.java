/** Which software version began a stream, known to all hosts while the stream may be continued. */
package org.oleandertrack.coordination.stream;
