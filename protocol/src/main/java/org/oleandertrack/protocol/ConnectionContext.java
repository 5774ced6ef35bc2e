package org.oleandertrack.protocol;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** What all connections of a server or connector share. Immutable. */
record ConnectionContext(
        LocalNode node,
        ProtocolLimits limits,
        ControlHandler controlHandler,
        LongSupplier nanoClock,
        Supplier<NodeStatus> status) {}
