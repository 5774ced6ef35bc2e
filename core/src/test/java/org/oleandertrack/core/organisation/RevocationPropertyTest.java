package org.oleandertrack.core.organisation;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Guards against requests that are admitted with a revoked key later than the bound after the store
 * has acknowledged the revocation, for all orders of confirmations, answers of peers, late answers,
 * freezes, clock jumps, cuts and starts.
 */
final class RevocationPropertyTest {

    private static final long REVOKE_MILLIS = 5_000;
    private static final long CLOCK_JUMP_MILLIS = 2_000;
    private static final int HOSTS = 3;
    private static final int STEP_KINDS = 10;
    private static final KeyDigest KEY = KeyDigest.ofKey("k");
    private static final OrganisationDirectory WITH_KEY = directory(Set.of(KEY));
    private static final OrganisationDirectory WITHOUT_KEY = directory(Set.of());

    private final KeyAdmission mAdmission =
            new KeyAdmission(Optional.of(new RevocationBound(REVOKE_MILLIS)));
    private List<Host> mHosts;
    private long mNowMillis;
    private OptionalLong mRevokedMillis;

    /** A call that is under way: what its answer states was true when the call was begun. */
    private record OpenCall(
            ConfigFreshness.Moment begun, boolean knowsRevocation, OptionalLong peerAgeMillis) {}

    /** A host: what it knows ends with it. */
    private static final class Host {
        private TestClocks mClocks = new TestClocks();
        private ConfigFreshness mFreshness = mClocks.makeFreshness();
        private boolean mConfigured;
        private boolean mKnowsRevocation;
        private boolean mCut;
        private boolean mWallClockAhead;
        private final ArrayDeque<OpenCall> mOpenCalls = new ArrayDeque<>();
    }

    private static OrganisationDirectory directory(Set<KeyDigest> keys) {
        return new OrganisationDirectory(
                true,
                List.of(new Organisation("o", keys, OptionalInt.empty(), Optional.empty())),
                List.of());
    }

    @BeforeTry
    void startHosts() {
        mHosts = new ArrayList<>();
        mNowMillis = 0;
        mRevokedMillis = OptionalLong.empty();
        for (int i = 0; i < HOSTS; i++) {
            mHosts.add(new Host());
        }
    }

    /**
     * Steps are written as a number: one of 10 kinds, one of 3 hosts, and a size of 0 to 29.
     *
     * @param revokeStep the step before which the key is revoked
     */
    @Property(tries = 3_000)
    @Label("no key is accepted longer than the bound after its revocation")
    void noKeyOutlivesItsRevocation(
            @ForAll @Size(max = 120) List<@IntRange(max = 899) Integer> steps,
            @ForAll @IntRange(max = 60) int revokeStep) {
        for (int i = 0; i < steps.size(); i++) {
            if (i == revokeStep) {
                mRevokedMillis = OptionalLong.of(mNowMillis);
            }
            int step = steps.get(i);
            int size = step / (STEP_KINDS * HOSTS);
            run(step % STEP_KINDS, mHosts.get(step / STEP_KINDS % HOSTS), size);
            mHosts.forEach(this::sendRequest);
        }
    }

    private void run(int kind, Host host, int size) {
        Host peer = mHosts.get((mHosts.indexOf(host) + 1 + size % (HOSTS - 1)) % HOSTS);
        switch (kind) {
            case 0, 1 -> advance(size * 100L, Optional.empty());
            case 2 -> beginStoreCall(host);
            case 3, 4 -> completeCall(host);
            case 5 -> beginPeerCall(host, peer);
            case 6 -> advance(size * 300L, Optional.of(host));
            case 7 -> jump(host);
            case 8 -> host.mCut = !host.mCut;
            default -> restart(host, size);
        }
    }

    private void advance(long millis, Optional<Host> frozen) {
        mNowMillis += millis;
        for (Host host : mHosts) {
            if (frozen.isPresent() && frozen.get().equals(host)) {
                host.mClocks.freeze(millis);
            } else {
                host.mClocks.run(millis);
            }
        }
    }

    private void beginStoreCall(Host host) {
        if (!host.mCut) {
            host.mOpenCalls.add(
                    new OpenCall(
                            host.mFreshness.now(),
                            mRevokedMillis.isPresent(),
                            OptionalLong.empty()));
        }
    }

    private static void beginPeerCall(Host host, Host peer) {
        OptionalLong ageMillis = peer.mFreshness.ageMillis();
        if (ageMillis.isPresent() && peer.mConfigured) {
            host.mOpenCalls.add(
                    new OpenCall(host.mFreshness.now(), peer.mKnowsRevocation, ageMillis));
        }
    }

    // A configuration is put in force before its confirmation counts.
    private static void completeCall(Host host) {
        OpenCall call = host.mOpenCalls.poll();
        if (call == null) {
            return;
        }
        host.mConfigured = true;
        host.mKnowsRevocation |= call.knowsRevocation();
        if (call.peerAgeMillis().isEmpty()) {
            host.mFreshness.confirm(call.begun());
        } else if (host.mKnowsRevocation == call.knowsRevocation()) {
            host.mFreshness.confirmThroughPeer(call.begun(), call.peerAgeMillis().getAsLong());
        }
    }

    // The clocks are read regularly, so a change is noticed before a freeze can follow.
    private static void jump(Host host) {
        host.mFreshness.ageMillis();
        host.mClocks.setWallClock(host.mWallClockAhead ? -CLOCK_JUMP_MILLIS : CLOCK_JUMP_MILLIS);
        host.mWallClockAhead = !host.mWallClockAhead;
        host.mFreshness.ageMillis();
    }

    private static void restart(Host host, int size) {
        // Restarts would otherwise leave few hosts with any knowledge.
        if (size % 3 != 0) {
            return;
        }
        host.mOpenCalls.clear();
        host.mFreshness = host.mClocks.makeFreshness();
        host.mConfigured = false;
        host.mKnowsRevocation = false;
    }

    private void sendRequest(Host host) {
        if (!host.mConfigured) {
            return;
        }
        KeyAdmission.Decision decision =
                mAdmission.decide(
                        host.mKnowsRevocation ? WITHOUT_KEY : WITH_KEY,
                        false,
                        Optional.of(KEY),
                        host.mFreshness.ageMillis());
        boolean late =
                mRevokedMillis.isPresent()
                        && mNowMillis > mRevokedMillis.getAsLong() + REVOKE_MILLIS;
        assertFalse(
                late && decision instanceof KeyAdmission.Decision.Accepted,
                () ->
                        "admitted "
                                + (mNowMillis - mRevokedMillis.getAsLong())
                                + " ms after the revocation, at age "
                                + host.mFreshness.ageMillis());
    }
}
