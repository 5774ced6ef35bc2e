/** Organisations, to which clients belong, and the decisions about admitting their requests. */
package org.oleandertrack.core.organisation;
