package org.oleandertrack.gateway.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.oleandertrack.core.organisation.ConfigFreshness;
import org.oleandertrack.core.organisation.RevocationBound;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * Asks peers how old their knowledge of the configuration is while the store does not answer this
 * host, and reads a newer configuration from them. The answers spread among hosts that the store
 * does not answer: with three peers asked four times a second, one host that reaches the store
 * keeps 40 others up to date. Thread-safe.
 */
public final class PeerConfirmations {

    private static final int ASKED_PEERS = 3;

    private final RevocationBound mBound;
    private final Supplier<List<? extends ConfirmationPeer>> mPeers;
    private final ConfigFreshness mFreshness;
    private final PeerConfiguration mConfiguration;
    private final Random mRandom;
    private final EventLog mLog;
    private final AtomicBoolean mReading = new AtomicBoolean();
    private final AtomicBoolean mSilent = new AtomicBoolean();
    // The peer that last stated the youngest knowledge is asked again first.
    private volatile Optional<ConfirmationPeer> mYoungest = Optional.empty();

    /** Creates an instance that asks the peers of a directory. */
    public PeerConfirmations(
            RevocationBound bound,
            PeerDirectory peers,
            ConfigFreshness freshness,
            PeerConfiguration configuration,
            Random random,
            EventLog log) {
        this(bound, peers::responsivePeers, freshness, configuration, random, log);
    }

    /** Creates an instance that asks the given peers. */
    PeerConfirmations(
            RevocationBound bound,
            Supplier<List<? extends ConfirmationPeer>> peers,
            ConfigFreshness freshness,
            PeerConfiguration configuration,
            Random random,
            EventLog log) {
        mBound = bound;
        mPeers = peers;
        mFreshness = freshness;
        mConfiguration = configuration;
        mRandom = random;
        mLog = log;
    }

    /** Asks peers if the store has not answered this host for too long. Call every 250 ms. */
    public void runMaintenance() {
        if (!mConfiguration.isKeyRequired()) {
            return;
        }
        boolean silent = isStoreSilent();
        // Before the first answer, the process has just started.
        if (mFreshness.millisSinceAnswer().isPresent() && mSilent.getAndSet(silent) != silent) {
            logSilence(silent);
        }
        if (silent && isOlderThan(mBound.maxSilenceMillis())) {
            selectPeers().forEach(this::ask);
        }
    }

    private boolean isStoreSilent() {
        OptionalLong sinceAnswer = mFreshness.millisSinceAnswer();
        return sinceAnswer.isEmpty()
                || sinceAnswer.getAsLong() >= mBound.maxSilenceMillis()
                // After a freeze, the monotonic clock has not measured the silence.
                || isOlderThan(mBound.maxUsualAgeMillis());
    }

    private boolean isOlderThan(long millis) {
        OptionalLong ageMillis = mFreshness.ageMillis();
        return ageMillis.isEmpty() || ageMillis.getAsLong() >= millis;
    }

    private List<ConfirmationPeer> selectPeers() {
        List<ConfirmationPeer> peers = new ArrayList<>(mPeers.get());
        Collections.shuffle(peers, mRandom);
        mYoungest.filter(peers::remove).ifPresent(peers::addFirst);
        return peers.subList(0, Math.min(ASKED_PEERS, peers.size()));
    }

    private void ask(ConfirmationPeer peer) {
        ConfigFreshness.Moment begun = mFreshness.now();
        var _ =
                peer.configurationAge(
                                new PeerMessages.AskConfigurationAge(
                                        mConfiguration.version().orElse(0)))
                        .whenComplete(
                                (age, failure) -> {
                                    if (failure == null) {
                                        onAge(peer, begun, age);
                                    }
                                });
    }

    private void onAge(
            ConfirmationPeer peer,
            ConfigFreshness.Moment begun,
            PeerMessages.ConfigurationAge age) {
        if (!age.known()) {
            return;
        }
        OptionalLong ownVersion = mConfiguration.version();
        if (ownVersion.isEmpty() || ownVersion.getAsLong() < age.version()) {
            readFrom(peer, begun, age);
            return;
        }
        adopt(peer, begun, age);
    }

    private void adopt(
            ConfirmationPeer peer,
            ConfigFreshness.Moment begun,
            PeerMessages.ConfigurationAge age) {
        OptionalLong ownVersion = mConfiguration.version();
        if (ownVersion.isEmpty() || ownVersion.getAsLong() != age.version()) {
            return;
        }
        if (mFreshness.confirmThroughPeer(begun, age.ageMillis())) {
            mYoungest = Optional.of(peer);
        }
    }

    private void readFrom(
            ConfirmationPeer peer,
            ConfigFreshness.Moment begun,
            PeerMessages.ConfigurationAge age) {
        if (!mReading.compareAndSet(false, true)) {
            return;
        }
        var _ =
                peer.readConfiguration(new PeerMessages.ReadConfiguration(age.version()))
                        .whenComplete(
                                (answer, failure) -> {
                                    mReading.set(false);
                                    if (failure != null || answer.row() == null) {
                                        return;
                                    }
                                    mConfiguration.onPeerRow(answer.row());
                                    adopt(peer, begun, age);
                                });
    }

    private void logSilence(boolean silent) {
        EventLog.Line line =
                mLog.notice(
                        silent
                                ? "configuration confirmed by peers only"
                                : "configuration confirmed by the store again");
        mFreshness.millisSinceAnswer().ifPresent(millis -> line.number("sinceAnswerMs", millis));
        mFreshness.ageMillis().ifPresent(millis -> line.number("ageMs", millis));
        mConfiguration.version().ifPresent(version -> line.number("configVersion", version));
        line.write();
    }
}
