/**
 * Coordination between the processes of the scheduler by means of the platform's store, which is
 * accessed through small interfaces.
 */
package org.oleandertrack.coordination;
