/** Access to the platform's store through peers while this process cannot reach it. */
package org.oleandertrack.coordination.relay;
