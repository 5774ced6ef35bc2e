/** Follows the changes of a table of the platform's store. */
package org.oleandertrack.coordination.feed;
