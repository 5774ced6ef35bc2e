/** Stand-in for a plain service that echoes calls and counts what it executed. */
package org.oleandertrack.standins.service;
