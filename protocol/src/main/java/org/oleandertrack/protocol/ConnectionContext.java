package org.oleandertrack.protocol;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Identity, limits and callbacks shared by all connections of a server or connector. Immutable. */
record ConnectionContext(
        LocalNode node,
        ProtocolLimits limits,
        ControlHandler controlHandler,
        LongSupplier nanoClock,
        Supplier<NodeStatus> status) {}
