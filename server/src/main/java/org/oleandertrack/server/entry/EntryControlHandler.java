package org.oleandertrack.server.entry;

import com.google.inject.Provider;
import java.util.function.Consumer;
import org.oleandertrack.protocol.ControlHandler;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Heartbeat;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.Role;
import org.tinylog.Logger;

/** Handles control frames of other entry hosts and of sidecars. Thread safe. */
final class EntryControlHandler implements ControlHandler {

    private final Provider<HostDirectory> mHosts;
    private final Provider<ConfigService> mConfig;
    private final Provider<EntryCoordination> mCoordination;

    /** Takes providers, because the objects that the handler calls are created after it. */
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
            case LEAVING -> onLeaving(peer);
            case HEARTBEAT -> onHeartbeat(peer, frame.getHeartbeat(), reply);
            case CONFIG_REQUEST -> mConfig.get().onConfigRequest(frame.getConfigRequest(), reply);
            case CONFIG_PUSH -> mConfig.get().onConfigPush(frame.getConfigPush());
            default ->
                    Logger.debug(
                            "ignored control frame {} from {}",
                            frame.getPayloadCase(),
                            peer.getNode());
        }
    }

    private void onHeartbeat(Hello peer, Heartbeat heartbeat, Consumer<Frame> reply) {
        if (heartbeat.getLeaving()) {
            onLeaving(peer);
        }
        if (peer.getRole() == Role.ROLE_ENTRY) {
            mConfig.get().onHeartbeat(heartbeat, reply);
        }
    }

    private void onLeaving(Hello peer) {
        if (peer.getRole() == Role.ROLE_ENTRY) {
            mCoordination.get().shardOwnership().scanNow();
            return;
        }
        if (mHosts.get().markLeaving(peer.getNode(), peer.getIncarnation())) {
            Logger.info("host {} announced that it is leaving", peer.getNode());
        }
    }
}
