package org.oleandertrack.system.scenario;

import java.net.URI;
import java.util.function.Supplier;

/** Decides whether an expectation holds. */
final class Checks {

    private final CallBook mCalls;
    private final Counts mCounts;
    private final ScenarioHttp mHttp;
    private final Supplier<URI> mTarget;

    /** Takes the address of a target that answers model requests directly. */
    Checks(CallBook calls, Counts counts, ScenarioHttp http, Supplier<URI> target) {
        mCalls = calls;
        mCounts = counts;
        mHttp = http;
        mTarget = target;
    }

    // Operations

    /** Throws an {@link AssertionError} that shows what was found unless the check holds. */
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
        long count = mCounts.read(matches.executions());
        boolean holds =
                switch (answer.execution()) {
                    case "not run" -> count == 0;
                    case "run" -> count == 1;
                    default -> answer.isWhole() ? count == 1 : count <= 1;
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
        if (!counted.bound().isMetBy(mCounts.read(counted.count()))) {
            throw new AssertionError(
                    "expected " + counted.bound() + "; " + mCounts.describe(counted.count()));
        }
    }

    private boolean isRight(String call) {
        Answer answer = answer(call);
        if (!answer.isWhole()) {
            return false;
        }
        SentRequest direct = RequestFactory.direct(mCalls.call(call).request());
        Answer expected = mHttp.send(mTarget.get(), direct).await();
        if (!expected.isWhole()) {
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
