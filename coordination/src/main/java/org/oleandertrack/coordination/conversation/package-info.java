/**
 * Conversations that the system keeps: the text of each complete turn with all turns before it, so
 * that any host can continue from the id of a turn.
 */
package org.oleandertrack.coordination.conversation;
