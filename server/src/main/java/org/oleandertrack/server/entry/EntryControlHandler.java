package org.oleandertrack.server.entry;

import com.google.inject.Provider;
import java.util.function.Consumer;
import org.oleandertrack.protocol.ControlHandler;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;
import org.tinylog.Logger;

/** Takes what peers say of themselves. Thread safe. */
final class EntryControlHandler implements ControlHandler {

    private final Provider<HostDirectory> mHosts;

    /** Creates a handler; the directory needs the connector and so exists only later. */
    EntryControlHandler(Provider<HostDirectory> hosts) {
        mHosts = hosts;
    }

    @Override
    public void onControl(Hello peer, Frame frame, Consumer<Frame> reply) {
        boolean leaving =
                switch (frame.getPayloadCase()) {
                    case LEAVING -> true;
                    case HEARTBEAT -> frame.getHeartbeat().getLeaving();
                    default -> false;
                };
        if (leaving && mHosts.get().markLeaving(peer.getNode(), peer.getIncarnation())) {
            Logger.info("{} says that it is leaving", peer.getNode());
        }
    }
}
