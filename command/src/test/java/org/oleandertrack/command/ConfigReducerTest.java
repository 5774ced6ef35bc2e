package org.oleandertrack.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.ConfigState;
import org.oleandertrack.core.config.ProgramClass;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Guards against configurations that differ between processes which apply the same changes, and
 * against changes that reset attributes which they do not name.
 */
final class ConfigReducerTest {

    private final CommandParser mParser = new CommandParser();
    private final StatementFormat mFormat = new StatementFormat();
    private final ConfigReducer mReducer = new ConfigReducer();
    private final ConfigStateCodec mSnapshot = new ConfigStateCodec();

    @Provide
    Arbitrary<List<ConfigCommand>> logs() {
        return StatementArbitraries.configCommands()
                .map(command -> command.withReplacedVersion(Optional.empty()))
                .list()
                .ofMaxSize(30);
    }

    @Property(seed = "20261204", tries = 300)
    void applyingTheParsedLogGivesTheSameState(@ForAll("logs") List<ConfigCommand> log) {
        ConfigState direct = applyValidChanges(ConfigState.initial(), log);
        List<ConfigCommand> read =
                log.stream().map(mFormat::format).map(mParser::parseConfigCommand).toList();
        ConfigState again = applyValidChanges(ConfigState.initial(), read);
        assertEquals(direct, again);
        assertEquals(direct.toString(), again.toString());
    }

    @Property(seed = "20261204", tries = 300)
    void continuingFromASnapshotGivesTheSameState(
            @ForAll("logs") List<ConfigCommand> log, @ForAll byte cut) {
        int split = log.isEmpty() ? 0 : Math.floorMod(cut, log.size());
        ConfigState middle = applyValidChanges(ConfigState.initial(), log.subList(0, split));
        ConfigState read = mSnapshot.decode(mSnapshot.encode(middle));
        assertEquals(middle, read);
        assertEquals(mSnapshot.encode(middle), mSnapshot.encode(read));
        List<ConfigCommand> rest = log.subList(split, log.size());
        assertEquals(applyValidChanges(middle, rest), applyValidChanges(read, rest));
    }

    @Property(seed = "20261204", tries = 300)
    void theDefaultClassAlwaysExists(@ForAll("logs") List<ConfigCommand> log) {
        ConfigState state = applyValidChanges(ConfigState.initial(), log);
        assertEquals(ProgramClass.DEFAULT_NAME, state.defaultClass().name());
    }

    @Test
    void initialStateHasTheDefaultClassOnly() {
        ConfigState state = ConfigState.initial();
        assertEquals(0, state.version());
        assertEquals(Set.of("default"), state.classes().keySet());
        assertEquals(ProgramClass.defaults("default"), state.defaultClass());
    }

    @Test
    void attributesThatAreNotNamedKeepTheirValues() {
        ConfigState state = run("set class review priority=1 models=m1,m2 turn-limit=20");
        state = run(state, "set class review turn-limit=30 targets=t1");
        ProgramClass review = state.classNamed("review").orElseThrow();
        assertEquals(1, review.priority());
        assertEquals(30, review.turnLimit());
        assertEquals(Set.of("m1", "m2"), review.models());
        assertEquals(Set.of("t1"), review.targets());
        assertEquals(ClassAttribute.WEIGHT.defaultValue(), review.weight());
        assertEquals(2, state.version());
    }

    @Test
    void wildcardRemovesTheRestriction() {
        ConfigState state = run("set class review targets=t1");
        assertEquals(false, state.classNamed("review").orElseThrow().allowsTarget("t2"));
        state = run(state, "set targets review = *");
        assertEquals(true, state.classNamed("review").orElseThrow().allowsTarget("t2"));
    }

    @Test
    void changeThatReplacesAnotherVersionIsRefused() {
        ConfigState state = run("drain target t1");
        assertFails(state, "drain target t2 replacing version 0", ResultCode.VERSION_CONFLICT);
        assertFails(state, "drain target t2 replacing version 2", ResultCode.VERSION_CONFLICT);
        assertEquals(2, run(state, "drain target t2 replacing version 1").version());
    }

    @Test
    void changesOfUnknownObjectsNameThePosition() {
        ConfigState state = ConfigState.initial();
        ResultException e = assertFails(state, "remove class review", ResultCode.UNKNOWN_OBJECT);
        assertEquals("position 14: the class review does not exist", e.getMessage());
        assertFails(state, "set targets review = t1", ResultCode.UNKNOWN_OBJECT);
        assertFails(state, "undrain target t1", ResultCode.UNKNOWN_OBJECT);
        assertFails(state, "remove class default", ResultCode.VALUE_OUT_OF_RANGE);
    }

    @Test
    void drainingTwiceAndUndrainingOnceAllowsNewWork() {
        ConfigState state = run("drain target t1");
        state = run(state, "drain target t1");
        assertEquals(Set.of("t1"), state.drainedTargets());
        state = run(state, "undrain target t1");
        assertEquals(Set.of(), state.drainedTargets());
        assertEquals(3, state.version());
    }

    @Test
    void organisationsWithoutPolicyHaveTheDefault() {
        ConfigState state = run("set organisation kaasik max-running=3");
        assertEquals(3, state.organisation("kaasik").maxRunning());
        assertEquals(1, state.organisation("kaasik").weight());
        assertEquals(1_000_000, state.organisation("other").maxRunning());
    }

    @Test
    void malformedSnapshotsAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> mSnapshot.decode(""));
        assertThrows(IllegalArgumentException.class, () -> mSnapshot.decode("drain target t1"));
        assertThrows(ResultException.class, () -> mSnapshot.decode("version 1\nshow config\n"));
    }

    private ConfigState run(String command) {
        return run(ConfigState.initial(), command);
    }

    private ConfigState run(ConfigState state, String command) {
        return mReducer.apply(state, mParser.parseConfigCommand(command));
    }

    private ResultException assertFails(ConfigState state, String command, ResultCode code) {
        ResultException e = assertThrows(ResultException.class, () -> run(state, command));
        assertEquals(code, e.code());
        return e;
    }

    /** Applies the valid changes and skips the others, which would never get into the log. */
    private ConfigState applyValidChanges(ConfigState state, List<ConfigCommand> log) {
        ConfigState folded = state;
        for (ConfigCommand command : log) {
            try {
                folded = mReducer.apply(folded, command);
            } catch (ResultException e) {
                assertEquals(true, isRefusal(e.code()), e.getMessage());
            }
        }
        return folded;
    }

    private static boolean isRefusal(ResultCode code) {
        return code == ResultCode.UNKNOWN_OBJECT || code == ResultCode.VALUE_OUT_OF_RANGE;
    }
}
