package org.oleandertrack.system;

import java.util.List;

/** JVM options of the processes of a deployment, the same as in {@code bin/oleandertrack}. */
final class JvmOptions {

    /** Options of stand-ins and load generators. */
    static final List<String> STANDIN =
            List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    /** Options of entry hosts. */
    static final List<String> ENTRY = List.of("-Xmx256m", "-XX:+UseSerialGC");

    /**
     * Options of sidecars. Together with the limit of one malloc arena that {@link ManagedProcess}
     * sets, they keep the resident memory of a sidecar under 128 MB.
     */
    static final List<String> SIDECAR =
            List.of(
                    "-Xmx22m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:ReservedCodeCacheSize=24m",
                    "-XX:+UseCompactObjectHeaders",
                    "-Dio.netty.allocator.type=unpooled",
                    "-Dio.netty.noPreferDirect=true");

    private JvmOptions() {}
}
