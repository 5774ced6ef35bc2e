/** Budget arithmetic: durable grants and what their holder has drawn from them. */
package org.oleandertrack.core.budget;
