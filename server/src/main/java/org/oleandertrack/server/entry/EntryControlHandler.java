package org.oleandertrack.server.entry;

import com.google.inject.Provider;
import java.util.function.Consumer;
import org.oleandertrack.protocol.ControlHandler;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Heartbeat;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.Role;
import org.tinylog.Logger;

/** Takes what peers say of themselves. Thread safe. */
final class EntryControlHandler implements ControlHandler {

    private final Provider<HostDirectory> mHosts;
    private final Provider<ConfigService> mConfig;
    private final Provider<EntryCoordination> mCoordination;

    /** Creates a handler; what it calls needs the connections and so exists only later. */
    EntryControlHandler(
            Provider<HostDirectory> hosts,
            Provider<ConfigService> config,
            Provider<EntryCoordination> coordination) {
        mHosts = hosts;
        mConfig = config;
        mCoordination = coordination;
    }

    @Override
    public void onControl(Hello peer, Frame frame, Consumer<Frame> reply) {
        switch (frame.getPayloadCase()) {
            case LEAVING -> markLeaving(peer);
            case HEARTBEAT -> onHeartbeat(peer, frame.getHeartbeat(), reply);
            case CONFIG_REQUEST -> mConfig.get().request(frame.getConfigRequest(), reply);
            case CONFIG_PUSH -> mConfig.get().push(frame.getConfigPush());
            default -> Logger.debug("ignored {} from {}", frame.getPayloadCase(), peer.getNode());
        }
    }

    private void onHeartbeat(Hello peer, Heartbeat heartbeat, Consumer<Frame> reply) {
        if (heartbeat.getLeaving()) {
            markLeaving(peer);
        }
        if (peer.getRole() == Role.ROLE_ENTRY) {
            mConfig.get().heartbeat(heartbeat, reply);
        }
    }

    private void markLeaving(Hello peer) {
        if (peer.getRole() == Role.ROLE_ENTRY) {
            mCoordination.get().shards().checkNow();
            return;
        }
        if (mHosts.get().markLeaving(peer.getNode(), peer.getIncarnation())) {
            Logger.info("{} says that it is leaving", peer.getNode());
        }
    }
}
