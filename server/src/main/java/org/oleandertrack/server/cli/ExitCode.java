package org.oleandertrack.server.cli;

import org.oleandertrack.core.result.ResultCode;

/**
 * Exit codes of the process. The page {@code docs/settings.md} lists all of them. Codes above 128
 * come from the JVM when a signal ends the process.
 */
public enum ExitCode {
    SUCCESS(0, "The command was carried out."),
    INTERNAL_ERROR(1, "An unexpected error occurred (9099)."),
    USAGE(2, "The command line is not valid (9005)."),
    SETTINGS_UNREADABLE(3, "The settings file cannot be read or is not valid TOML (9001)."),
    SETTINGS_UNKNOWN_KEY(4, "The settings file has a key that does not exist (9002)."),
    SETTINGS_INVALID_VALUE(
            5, "A setting has the wrong type, is out of range or is missing (9003)."),
    ADDRESS_IN_USE(6, "A configured address cannot be bound (9004)."),
    HOST_UNREACHABLE(7, "ctl: the entry host could not be reached; nothing was changed."),
    ANSWER_LOST(
            8,
            "ctl: the answer was lost or is not readable; the change may have taken effect. Query"
                    + " the configuration before sending it again."),
    CALLER_INPUT_REFUSED(11, "ctl: refused with a result code from 1001 to 1999."),
    PROGRAM_REFUSED(12, "ctl: refused with a result code from 2001 to 2999."),
    LIMIT_REACHED(13, "ctl: refused with a result code from 3001 to 3999."),
    TARGET_REFUSED(14, "ctl: refused with a result code from 4001 to 4999."),
    PLATFORM_REFUSED(15, "ctl: refused with a result code from 5001 to 5999."),
    KEY_REFUSED(16, "ctl: refused with a result code from 6001 to 6999."),
    PEER_REFUSED(18, "ctl: refused with a result code from 8001 to 8999."),
    COMMAND_SYNTAX(21, "ctl: the command does not follow the grammar (7001)."),
    UNKNOWN_OBJECT(22, "ctl: the command names an object that does not exist (7002)."),
    VALUE_OUT_OF_RANGE(23, "ctl: a value in the command is out of range (7003)."),
    VERSION_CONFLICT(
            24, "ctl: the configuration has a newer version than the command replaces (7004)."),
    CHANGE_OUTCOME_UNKNOWN(25, "ctl: the store did not confirm the change (7005).");

    private final int mNumber;
    private final String mSummary;

    ExitCode(int number, String summary) {
        mNumber = number;
        mSummary = summary;
    }

    public int number() {
        return mNumber;
    }

    public String summary() {
        return mSummary;
    }

    /** Returns the exit code of a process that fails with the given result code. */
    public static ExitCode of(ResultCode code) {
        return switch (code) {
            case USAGE -> USAGE;
            case SETTINGS_UNREADABLE -> SETTINGS_UNREADABLE;
            case SETTINGS_UNKNOWN_KEY -> SETTINGS_UNKNOWN_KEY;
            case SETTINGS_INVALID_VALUE -> SETTINGS_INVALID_VALUE;
            case ADDRESS_IN_USE -> ADDRESS_IN_USE;
            case COMMAND_SYNTAX -> COMMAND_SYNTAX;
            case UNKNOWN_OBJECT -> UNKNOWN_OBJECT;
            case VALUE_OUT_OF_RANGE -> VALUE_OUT_OF_RANGE;
            case VERSION_CONFLICT -> VERSION_CONFLICT;
            case CHANGE_OUTCOME_UNKNOWN -> CHANGE_OUTCOME_UNKNOWN;
            default -> ofGroup(code.number() / 1000);
        };
    }

    /** Returns the exit code of a process that fails with the result code of the given number. */
    public static ExitCode ofNumber(int number) {
        return ResultCode.fromNumber(number)
                .map(ExitCode::of)
                // An entry host of a newer version may send a result code that is unknown here.
                .orElseGet(() -> ofGroup(number / 1000));
    }

    private static ExitCode ofGroup(int thousands) {
        return switch (thousands) {
            case 1 -> CALLER_INPUT_REFUSED;
            case 2 -> PROGRAM_REFUSED;
            case 3 -> LIMIT_REACHED;
            case 4 -> TARGET_REFUSED;
            case 5 -> PLATFORM_REFUSED;
            case 6 -> KEY_REFUSED;
            case 8 -> PEER_REFUSED;
            default -> INTERNAL_ERROR;
        };
    }
}
