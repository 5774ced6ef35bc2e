package org.oleandertrack.system.scenario;

import java.net.URI;
import java.util.function.Supplier;

/** Evaluates the checks of {@code expect} statements. */
final class CheckEvaluator {

    private final CallRegistry mCalls;
    private final CountReader mCountReader;
    private final ScenarioHttp mHttp;
    private final Supplier<URI> mDirectTarget;

    /**
     * Creates an evaluator.
     *
     * @param target address of a target; model requests are also sent to it directly, to compare
     *     the answers
     */
    CheckEvaluator(
            CallRegistry calls, CountReader counts, ScenarioHttp http, Supplier<URI> target) {
        mCalls = calls;
        mCountReader = counts;
        mHttp = http;
        mDirectTarget = target;
    }

    // Operations

    /**
     * Evaluates a check.
     *
     * @throws AssertionError if the check fails, with the answer or count that was found
     */
    void require(Check check) {
        switch (check) {
            case Check.Status status ->
                    require(
                            status.statuses().contains((long) answer(status.call()).status()),
                            check,
                            status.call());
            case Check.Code code -> requireCode(code);
            case Check.Right right -> require(isRight(right.call()), check, right.call());
            case Check.RightOrRefused either ->
                    require(
                            answer(either.call()).code() != 0 || isRight(either.call()),
                            check,
                            either.call());
            case Check.Same same -> requireSame(same);
            case Check.CutOff cutOff ->
                    require(answer(cutOff.call()).failure().isPresent(), check, cutOff.call());
            case Check.Contains contains ->
                    require(
                            answer(contains.call()).body().contains(contains.text()),
                            check,
                            contains.call());
            case Check.HeaderValue header ->
                    require(
                            answer(header.call()).header(header.name()).equals(header.value()),
                            check,
                            header.call());
            case Check.MatchesExecutions matches -> requireExecutions(matches);
            case Check.Counted counted -> requireCount(counted);
        }
    }

    // Helpers

    private void requireCode(Check.Code code) {
        Answer answer = answer(code.call());
        boolean holds =
                code.codes().contains(answer.code())
                        && code.execution().map(answer.execution()::equals).orElse(true);
        require(holds, code, code.call());
    }

    private void requireExecutions(Check.MatchesExecutions matches) {
        Answer answer = answer(matches.call());
        long count = mCountReader.read(matches.executions());
        boolean holds =
                switch (answer.execution()) {
                    case "not run" -> count == 0;
                    case "run" -> count == 1;
                    default -> answer.isComplete() ? count == 1 : count <= 1;
                };
        if (!holds) {
            throw new AssertionError(
                    matches + "; executed " + count + " times, answered " + answer);
        }
    }

    private void requireSame(Check.Same same) {
        Answer answer = answer(same.call());
        Answer other = answer(same.other());
        if (answer.status() != other.status() || !answer.text().equals(other.text())) {
            throw new AssertionError(same + "; found " + answer + "\nand " + other);
        }
    }

    private void requireCount(Check.Counted counted) {
        if (!counted.bound().isMetBy(mCountReader.read(counted.count()))) {
            throw new AssertionError(
                    "expected " + counted.bound() + "; " + mCountReader.describe(counted.count()));
        }
    }

    private boolean isRight(String call) {
        Answer answer = answer(call);
        if (!answer.isComplete()) {
            return false;
        }
        SentRequest direct = RequestFactory.createDirect(mCalls.call(call).request());
        Answer expected = mHttp.send(mDirectTarget.get(), direct).await();
        if (!expected.isComplete()) {
            throw new AssertionError("no answer from the target itself: " + expected);
        }
        return expected.text().equals(answer.text());
    }

    private Answer answer(String call) {
        return mCalls.finish(mCalls.call(call));
    }

    private void require(boolean holds, Check check, String call) {
        if (!holds) {
            throw new AssertionError(check + "; found " + answer(call));
        }
    }
}
