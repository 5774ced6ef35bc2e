/**
 * The entry host: accepts calls over HTTP, sends them to targets and keeps the state of programs.
 *
 * <p>A program is a chain of dependent model calls, and a turn is one of these calls. A sub-agent
 * is a program whose id begins with the id of its root program and a slash. Programs are
 * partitioned into shards by their root program. One entry host at a time, the holder, owns a shard
 * under a lease; an entry host that receives a call for a shard it does not hold forwards the call
 * to the holder. Each change of holder raises the shard's fencing number (its fence), so that calls
 * of a former holder can be rejected.
 *
 * <p>A target is a back end: a model engine or a service. Calls reach it through its sidecar, a
 * process that runs next to it. The incarnation of a process is a random number chosen at its
 * start, which tells it from an earlier process on the same host. A variable named {@code node}
 * holds the id of a host.
 */
package org.oleandertrack.server.entry;
