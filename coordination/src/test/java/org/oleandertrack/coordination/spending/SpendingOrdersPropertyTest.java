package org.oleandertrack.coordination.spending;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;
import org.junit.jupiter.api.Assertions;
import org.oleandertrack.coordination.spending.FakeRowStore.Fate;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.coordination.store.WriteIds;

/**
 * Guards against budgets that are spent twice: what hosts reserve stays within the budget for all
 * orders of turns of several sizes, restarts, outages, changes of the issuer and lost messages.
 */
final class SpendingOrdersPropertyTest {

    private static final String PROGRAM = "p";
    private static final long BUDGET_TOKENS = 1_088;
    private static final List<Long> TURN_TOKENS = List.of(136L, 180L, 60L);
    private static final int HOSTS = 3;
    private static final int STEP_KINDS = 12;

    /** A host: what it remembers ends with it. */
    private static final class Host {
        private SpendingService mSpending;
        private OutageAllowances mAllowances;
        // The host that this one takes for the program's issuer.
        private int mIssuer;
        private final List<SpendingResult.Reserved> mOpen = new ArrayList<>();
    }

    private FakeRowStore mStore;
    private List<Host> mHosts;
    private long mNowNanos;
    private long mRestarts;
    private long mSpentTokens;
    private boolean mLosesMessages;

    @BeforeTry
    void startHosts() {
        mStore = new FakeRowStore();
        mHosts = new ArrayList<>();
        mSpentTokens = 0;
        mLosesMessages = false;
        for (int i = 0; i < HOSTS; i++) {
            mHosts.add(new Host());
        }
        mHosts.forEach(this::start);
    }

    private void start(Host host) {
        // A turn that its host had begun may have generated all that was reserved for it.
        host.mOpen.forEach(reserved -> mSpentTokens += reserved.tokens());
        host.mOpen.clear();
        host.mAllowances = new OutageAllowances(() -> mNowNanos);
        host.mSpending =
                new SpendingService(
                        mStore,
                        StoreRate.NEVER_SHORT,
                        issuerOf(host),
                        new WriteIds(new Random(++mRestarts)),
                        (delayNanos, task) -> () -> {},
                        () -> mNowNanos,
                        new Random(mRestarts));
    }

    private AllowanceIssuer issuerOf(Host host) {
        return new AllowanceIssuer() {
            @Override
            public CompletableFuture<Boolean> deposit(String program, long tokens) {
                if (!mLosesMessages) {
                    mHosts.get(host.mIssuer).mAllowances.deposit(program, tokens);
                }
                return CompletableFuture.completedFuture(true);
            }

            @Override
            public CompletableFuture<Boolean> take(String program, long tokens) {
                boolean taken = mHosts.get(host.mIssuer).mAllowances.take(program, tokens);
                return CompletableFuture.completedFuture(taken && !mLosesMessages);
            }
        };
    }

    @Property(seed = "20261205", tries = 3_000)
    @Label("what is reserved stays within the budget")
    void reservationsStayWithinTheBudget(
            @ForAll @Size(max = 80) List<@IntRange(max = 10_000) Integer> steps) {
        for (int step : steps) {
            run(
                    step % STEP_KINDS,
                    mHosts.get(step / STEP_KINDS % HOSTS),
                    step / STEP_KINDS / HOSTS);
            long openTokens =
                    mHosts.stream()
                            .flatMap(host -> host.mOpen.stream())
                            .mapToLong(SpendingResult.Reserved::tokens)
                            .sum();
            Assertions.assertTrue(
                    mSpentTokens + openTokens <= BUDGET_TOKENS,
                    mSpentTokens + " tokens spent and " + openTokens + " reserved");
        }
    }

    private void run(int kind, Host host, int choice) {
        switch (kind) {
            case 0, 1, 2, 3 -> reserve(host, TURN_TOKENS.get(choice % TURN_TOKENS.size()));
            case 4 -> settle(host, choice);
            case 5 -> start(host);
            case 6 -> mStore.setDown(true);
            case 7 -> mStore.setDown(false);
            case 8 -> host.mIssuer = choice % HOSTS;
            case 9 -> mLosesMessages = choice % 3 == 0;
            case 10 -> disturbStore(choice);
            default -> {
                mNowNanos += TimeUnit.SECONDS.toNanos(choice % 100);
                host.mSpending.runMaintenance();
                host.mAllowances.dropIdle();
            }
        }
    }

    private void reserve(Host host, long tokens) {
        var _ =
                host.mSpending
                        .reserve(PROGRAM, BUDGET_TOKENS, tokens)
                        .thenAccept(
                                result -> {
                                    if (result instanceof SpendingResult.Reserved reserved) {
                                        host.mOpen.add(reserved);
                                    }
                                });
    }

    private void settle(Host host, int choice) {
        if (host.mOpen.isEmpty()) {
            return;
        }
        SpendingResult.Reserved reserved = host.mOpen.remove(choice % host.mOpen.size());
        long generatedTokens = reserved.tokens() * (choice % 5) / 4;
        mSpentTokens += generatedTokens;
        host.mSpending.settle(PROGRAM, reserved, generatedTokens);
    }

    private void disturbStore(int choice) {
        switch (choice % 4) {
            case 0 -> mStore.setNextFates(Fate.LATE);
            case 1 -> mStore.setNextFates(Fate.ANSWER_LOST);
            case 2 -> mStore.setNextFates(Fate.REFUSED);
            default -> mStore.applyLate();
        }
    }
}
