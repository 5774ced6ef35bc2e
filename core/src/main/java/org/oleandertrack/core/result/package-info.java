/** Numbered result codes and what they say about the execution of a request. */
package org.oleandertrack.core.result;
