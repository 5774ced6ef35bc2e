package org.oleandertrack.system.scenario;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Concurrent callers, each of which runs a fixed number of programs one after another. If a request
 * is refused as not run, or the connection cannot be opened, the caller sends the request to the
 * next entry host, as a load balancer would. A call that fails in any other way, or at all of a
 * limited number of attempts, counts as lost; after a lost turn, its caller stops. Thread safe.
 */
final class BackgroundLoad {

    private static final int MAX_ATTEMPTS = 400;
    private static final long MAX_TOKENS = 8;

    /**
     * Parameters of a load.
     *
     * @param clients number of concurrent callers
     * @param programs number of programs that each caller runs
     * @param turns number of turns of each program
     * @param service service to which each program sends a reservation at its end, if given
     * @param nodes entry hosts that receive the calls
     */
    record Plan(
            String name,
            String organisation,
            int clients,
            int programs,
            int turns,
            Optional<String> service,
            List<String> nodes) {}

    private final Plan mPlan;
    private final String mModel;
    private final ScenarioHttp mHttp;
    private final Function<String, URI> mAddresses;
    private final Supplier<URI> mDirectTarget;
    private final AtomicBoolean mFinishing = new AtomicBoolean();
    private final AtomicLong mCompleted = new AtomicLong();
    private final ConcurrentLinkedQueue<String> mLost = new ConcurrentLinkedQueue<>();
    private final List<Thread> mThreads = new ArrayList<>();

    BackgroundLoad(
            Plan plan,
            String model,
            ScenarioHttp http,
            Function<String, URI> addresses,
            Supplier<URI> target) {
        mPlan = plan;
        mModel = model;
        mHttp = http;
        mAddresses = addresses;
        mDirectTarget = target;
    }

    // Life-cycle

    void start() {
        for (int i = 0; i < mPlan.clients(); i++) {
            int client = i;
            mThreads.add(Thread.ofVirtual().start(() -> runClient(client)));
        }
    }

    /** Starts no further programs, and waits for the end of those that are running. */
    void finish() {
        mFinishing.set(true);
        for (Thread thread : mThreads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }

    // Accessors

    long completed() {
        return mCompleted.get();
    }

    /** Returns a description of each lost call. */
    List<String> lost() {
        return List.copyOf(mLost);
    }

    // Helpers

    private void runClient(int client) {
        for (int i = 0; i < mPlan.programs() && !mFinishing.get(); i++) {
            String program = mPlan.name() + "-" + client + "-" + i;
            List<String> texts = new ArrayList<>();
            for (int turn = 1; turn <= mPlan.turns(); turn++) {
                if (!runTurn(program, turn, texts, client + i)) {
                    return;
                }
            }
            if (mPlan.service().isPresent()) {
                sendReservation(mPlan.service().get(), program, client + i);
            }
        }
    }

    private boolean runTurn(String program, int turn, List<String> texts, int firstNodeIndex) {
        Map<String, String> headers =
                turn == mPlan.turns() ? Map.of("Oleandertrack-End", "true") : Map.of();
        Request.Turn request =
                new Request.Turn(
                        "",
                        mPlan.organisation(),
                        program,
                        turn,
                        "Question " + turn + " of " + program,
                        turn % 2 == 0,
                        MAX_TOKENS,
                        mModel,
                        headers);
        SentRequest sent = RequestFactory.createTurn(request, texts, mModel);
        String description = program + " turn " + turn;
        Optional<Answer> answer = sendUntilComplete(sent, description, firstNodeIndex + turn);
        if (answer.isEmpty()) {
            return false;
        }
        Answer direct = mHttp.send(mDirectTarget.get(), RequestFactory.createDirect(sent)).await();
        if (!direct.text().equals(answer.get().text())) {
            mLost.add(description + ": expected " + direct + "; found " + answer.get());
            return false;
        }
        texts.add(request.text());
        texts.add(answer.get().text());
        return true;
    }

    private void sendReservation(String service, String program, int firstNodeIndex) {
        SentRequest sent =
                new SentRequest(
                        "POST",
                        "/services/" + service + "/reservations",
                        Map.of(
                                "Oleandertrack-Organisation",
                                mPlan.organisation(),
                                "Idempotency-Key",
                                program),
                        "name=" + program,
                        Optional.empty(),
                        List.of());
        sendUntilComplete(sent, program + " reservation", firstNodeIndex);
    }

    private Optional<Answer> sendUntilComplete(
            SentRequest request, String description, int firstNodeIndex) {
        Answer answer = new Answer(0, Optional.empty(), "", Optional.of("not sent"));
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            String node = mPlan.nodes().get((firstNodeIndex + i) % mPlan.nodes().size());
            answer = mHttp.send(mAddresses.apply(node), request).await();
            if (answer.isComplete()) {
                mCompleted.incrementAndGet();
                return Optional.of(answer);
            }
            if (!answer.isRetryableRefusal()) {
                break;
            }
            Poller.pause();
        }
        mLost.add(description + ": " + answer);
        return Optional.empty();
    }
}
