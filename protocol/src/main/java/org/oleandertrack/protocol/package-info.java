/** The inner protocol between the system's processes: protobuf frames over TCP. */
package org.oleandertrack.protocol;
