/** Stand-ins of the users' servers, clients and operator, which speak their published protocol. */
package org.oleandertrack.standins.published;
