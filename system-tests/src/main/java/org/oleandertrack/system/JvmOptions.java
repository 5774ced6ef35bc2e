package org.oleandertrack.system;

import java.util.List;

/** Options of the processes' virtual machines, the same as in {@code bin/oleandertrack}. */
final class JvmOptions {

    /** Stand-ins and load clients. */
    static final List<String> STANDIN =
            List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    static final List<String> ENTRY = List.of("-Xmx256m", "-XX:+UseSerialGC");

    /** Keeps a sidecar under 128 MB, together with one arena of the C library's allocator. */
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
