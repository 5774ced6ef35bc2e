/** Records of calls that may run at most once. */
package org.oleandertrack.coordination.intent;
