package org.oleandertrack.core.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Guards against a response behind a part of another one, and against repetitions not allowed. */
final class ContinuationPolicyTest {

    private static final NextStep FORWARD = new NextStep.ForwardResponse();
    private static final NextStep OTHER = new NextStep.SendToOtherTarget();
    private static final NextStep SAME = new NextStep.SendToSameTarget();
    private static final NextStep WAIT = new NextStep.KeepWaiting();
    private static final NextStep GIVE_UP = new NextStep.GiveUp();

    private static final List<AttemptEnd> ENDS =
            List.of(
                    new AttemptEnd.Refused(false),
                    new AttemptEnd.NotReached(false),
                    new AttemptEnd.Refused(true),
                    new AttemptEnd.NotReached(true),
                    new AttemptEnd.BrokenOff(),
                    new AttemptEnd.Stalled(false),
                    new AttemptEnd.Stalled(true),
                    new AttemptEnd.Answered());

    /** Steps for each end of {@link #ENDS}, in its order. */
    private record Row(
            ForwardedPart forwarded,
            boolean repeatable,
            boolean otherTargetAllowed,
            List<NextStep> steps) {}

    private static final List<Row> ROWS =
            List.of(
                    new Row(
                            ForwardedPart.NOTHING,
                            true,
                            true,
                            List.of(OTHER, OTHER, OTHER, OTHER, OTHER, OTHER, OTHER, FORWARD)),
                    new Row(
                            ForwardedPart.NOTHING,
                            true,
                            false,
                            List.of(GIVE_UP, GIVE_UP, OTHER, OTHER, SAME, SAME, GIVE_UP, FORWARD)),
                    new Row(
                            ForwardedPart.NOTHING,
                            false,
                            true,
                            List.of(
                                    OTHER, OTHER, OTHER, OTHER, GIVE_UP, GIVE_UP, GIVE_UP,
                                    FORWARD)),
                    new Row(
                            ForwardedPart.NOTHING,
                            false,
                            false,
                            List.of(
                                    GIVE_UP, GIVE_UP, OTHER, OTHER, GIVE_UP, GIVE_UP, GIVE_UP,
                                    FORWARD)),
                    new Row(
                            ForwardedPart.EVENTS,
                            true,
                            true,
                            List.of(OTHER, OTHER, OTHER, OTHER, OTHER, OTHER, OTHER, OTHER)),
                    new Row(
                            ForwardedPart.EVENTS,
                            true,
                            false,
                            List.of(GIVE_UP, GIVE_UP, OTHER, OTHER, SAME, SAME, WAIT, GIVE_UP)),
                    new Row(
                            ForwardedPart.EVENTS,
                            false,
                            true,
                            List.of(OTHER, OTHER, OTHER, OTHER, GIVE_UP, WAIT, WAIT, GIVE_UP)),
                    new Row(
                            ForwardedPart.EVENTS,
                            false,
                            false,
                            List.of(GIVE_UP, GIVE_UP, OTHER, OTHER, GIVE_UP, WAIT, WAIT, GIVE_UP)),
                    new Row(
                            ForwardedPart.PART_OF_BODY,
                            true,
                            true,
                            List.of(
                                    GIVE_UP, GIVE_UP, GIVE_UP, GIVE_UP, GIVE_UP, WAIT, WAIT,
                                    GIVE_UP)),
                    new Row(
                            ForwardedPart.PART_OF_BODY,
                            true,
                            false,
                            List.of(
                                    GIVE_UP, GIVE_UP, GIVE_UP, GIVE_UP, GIVE_UP, WAIT, WAIT,
                                    GIVE_UP)),
                    new Row(
                            ForwardedPart.PART_OF_BODY,
                            false,
                            true,
                            List.of(
                                    GIVE_UP, GIVE_UP, GIVE_UP, GIVE_UP, GIVE_UP, WAIT, WAIT,
                                    GIVE_UP)),
                    new Row(
                            ForwardedPart.PART_OF_BODY,
                            false,
                            false,
                            List.of(
                                    GIVE_UP, GIVE_UP, GIVE_UP, GIVE_UP, GIVE_UP, WAIT, WAIT,
                                    GIVE_UP)));

    @TestFactory
    Stream<DynamicTest> everyPairHasItsStep() {
        return ROWS.stream()
                .flatMap(
                        row ->
                                Stream.iterate(0, i -> i < ENDS.size(), i -> i + 1)
                                        .map(i -> test(row, i)));
    }

    private static DynamicTest test(Row row, int index) {
        AttemptEnd end = ENDS.get(index);
        NextStep step = row.steps().get(index);
        return DynamicTest.dynamicTest(
                row.forwarded()
                        + ", repeatable "
                        + row.repeatable()
                        + ", other target "
                        + row.otherTargetAllowed()
                        + ", "
                        + end,
                () -> {
                    assertEquals(step, ContinuationPolicy.next(progress(row, true), end));
                    boolean sends = step.equals(OTHER) || step.equals(SAME);
                    assertEquals(
                            sends ? GIVE_UP : step,
                            ContinuationPolicy.next(progress(row, false), end));
                });
    }

    private static CallProgress progress(Row row, boolean sendAllowed) {
        return new CallProgress(
                row.forwarded(), row.repeatable(), row.otherTargetAllowed(), sendAllowed);
    }
}
