package org.oleandertrack.system.scenario;

import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** Runs the statements of a scenario in order. Not thread safe. */
final class ScenarioRunner {

    private final TestDeployment mDeployment;
    private final ScenarioHttp mHttp;
    private final CallRegistry mCalls = new CallRegistry();
    private final Map<String, String> mSourceLines = new HashMap<>();
    private final Map<String, BackgroundLoad> mLoads = new HashMap<>();
    private final Transcript mTranscript = new Transcript();
    private final CountReader mCountReader;
    private final CheckEvaluator mCheckEvaluator;

    ScenarioRunner(TestDeployment deployment, ScenarioHttp http) {
        mDeployment = deployment;
        mHttp = http;
        mCountReader = new CountReader(deployment.localDeployment(), http, mLoads);
        mCheckEvaluator = new CheckEvaluator(mCalls, mCountReader, http, deployment::directTarget);
    }

    // Operations

    /**
     * Runs all statements. At the end, connections of unanswered requests are closed and background
     * loads are finished.
     *
     * @throws AssertionError if a statement fails, with the file and line of the statement
     */
    void run(Scenario scenario) {
        try {
            for (Scenario.Line line : scenario.lines()) {
                runLine(scenario, line);
            }
        } finally {
            mCalls.disconnectAll();
            mLoads.values().forEach(BackgroundLoad::finish);
        }
    }

    /** Returns the requests and answers so far as text. */
    String transcript() {
        return mTranscript.toString();
    }

    // Helpers

    private void runLine(Scenario scenario, Scenario.Line line) {
        try {
            runStatement(line.statement());
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError(
                    scenario.file() + ":" + line.number() + ": " + e.getMessage(), e);
        }
    }

    private void runStatement(Statement statement) {
        if (!isSetup(statement)) {
            mDeployment.publishStartedHosts();
        }
        switch (statement) {
            case Statement.Guards guards -> {}
            case Statement.Uses uses -> {}
            case Statement.Golden golden -> {}
            case Statement.Settings settings -> mDeployment.appendSettings(settings);
            case Statement.StartPlatform platform -> mDeployment.startPlatform();
            case Statement.StartTarget target -> mDeployment.startTarget(target);
            case Statement.StartEntry entry -> mDeployment.startEntry(entry);
            case Statement.Signal signal -> mDeployment.signal(signal);
            case Statement.Fault fault -> mDeployment.setFaults(fault);
            case Statement.Send send -> send(send);
            case Statement.Leave leave -> mCalls.call(leave.call()).disconnect();
            case Statement.StartLoad load -> startLoad(load.plan());
            case Statement.FinishLoad finish -> mLoads.get(finish.load()).finish();
            case Statement.AwaitReady ready ->
                    mDeployment.localDeployment().awaitReady(ready.node());
            case Statement.AwaitConnected connected -> awaitConnected();
            case Statement.AwaitExit exit -> mDeployment.localDeployment().awaitExit(exit.name());
            case Statement.AwaitCall call -> finish(call.call());
            case Statement.AwaitBody body -> awaitBody(body.call());
            case Statement.AwaitCount count -> awaitCount(count);
            case Statement.Expect expect -> mCheckEvaluator.require(expect.check());
        }
    }

    // Before these statements, the runner does not wait for daemons that are still starting, so
    // that daemons start in parallel.
    private static boolean isSetup(Statement statement) {
        return statement instanceof Statement.StartTarget
                || statement instanceof Statement.StartEntry
                || statement instanceof Statement.Settings;
    }

    private void send(Statement.Send send) {
        SentRequest request = createRequest(send.request());
        URI address = mDeployment.address(send.request().node());
        PendingCall call = mHttp.send(address, request);
        if (send.mode() == Statement.Send.Mode.RETRYING) {
            call = sendUntilFinal(call, address);
        }
        String name = send.name().orElse("");
        mCalls.add(name, call);
        mSourceLines.put(name, send.sourceLine());
        if (send.mode() != Statement.Send.Mode.BACKGROUND) {
            finish(name);
        }
    }

    private PendingCall sendUntilFinal(PendingCall first, URI address) {
        AtomicReference<PendingCall> last = new AtomicReference<>(first);
        Poller.await(
                () -> "an answer other than " + last.get().await(),
                () -> {
                    Answer answer = last.get().await();
                    boolean unknownTurn =
                            first.request().conversationKey().isPresent()
                                    && answer.execution().equals("unknown");
                    if (!answer.isRetryableRefusal() && !unknownTurn) {
                        return true;
                    }
                    last.set(mHttp.send(address, first.request()));
                    return false;
                });
        return last.get();
    }

    private SentRequest createRequest(Request request) {
        return switch (request) {
            case Request.Turn turn ->
                    RequestFactory.createTurn(
                            turn,
                            mCalls.conversation(RequestFactory.conversationKey(turn)),
                            mDeployment.defaultModel());
            case Request.Call call -> RequestFactory.createCall(call);
            case Request.Ctl ctl -> RequestFactory.createCtl(ctl.command());
            case Request.Repeat repeat -> mCalls.call(repeat.repeatedCall()).request();
        };
    }

    private void finish(String name) {
        Answer answer = mCalls.finish(mCalls.call(name));
        Optional.ofNullable(mSourceLines.remove(name))
                .ifPresent(source -> mTranscript.add(source, answer));
    }

    private void startLoad(BackgroundLoad.Plan plan) {
        BackgroundLoad load =
                new BackgroundLoad(
                        plan,
                        mDeployment.defaultModel(),
                        mHttp,
                        mDeployment::address,
                        mDeployment::directTarget);
        mLoads.put(plan.name(), load);
        load.start();
    }

    private void awaitBody(String name) {
        PendingCall call = mCalls.call(name);
        Poller.await(
                () -> "the first bytes of the body of " + name,
                () -> !call.receivedBody().isEmpty() || call.isDone());
    }

    private void awaitConnected() {
        List<String> entries = mDeployment.liveEntries();
        for (String entry : entries) {
            awaitCount(
                    new Statement.AwaitCount(
                            new Count.Rows(entry, "show members where role=entry"),
                            new Bound(Bound.Kind.EXACTLY, entries.size())));
            awaitCount(
                    new Statement.AwaitCount(
                            new Count.Rows(entry, "show targets where state=reachable"),
                            new Bound(Bound.Kind.EXACTLY, mDeployment.liveSidecarCount())));
        }
    }

    private void awaitCount(Statement.AwaitCount await) {
        Poller.await(
                () -> await.bound() + " of " + mCountReader.describe(await.count()),
                () -> await.bound().isMetBy(mCountReader.read(await.count())));
    }
}
