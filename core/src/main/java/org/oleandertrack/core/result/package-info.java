/** Numbered result codes, which also state whether a request was executed. */
package org.oleandertrack.core.result;
