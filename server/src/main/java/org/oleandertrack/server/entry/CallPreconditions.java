package org.oleandertrack.server.entry;

import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.core.config.ProgramClass;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Checks what must hold before a call may start. A call refused by a check has not been run. Thread
 * safe.
 */
final class CallPreconditions {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ConfigSource mConfig;
    private final GroupCommit mGroupCommit;

    CallPreconditions(ConfigSource config, GroupCommit groupCommit) {
        mConfig = config;
        mGroupCommit = groupCommit;
    }

    /**
     * Returns the program class of a request.
     *
     * @throws ResultException if the class does not exist or does not allow the requested model
     */
    ProgramClass requireProgramClass(CallerRequest request) {
        ProgramClass programClass =
                mConfig.state()
                        .classNamed(request.programClass())
                        .orElseThrow(
                                () ->
                                        new ResultException(
                                                ResultCode.UNKNOWN_CLASS,
                                                "no program class '"
                                                        + request.programClass()
                                                        + "'"));
        boolean isModelCall = request.maxGeneratedTokens() > 0;
        if (isModelCall && !programClass.allowsModel(request.destination())) {
            throw new ResultException(
                    ResultCode.UNKNOWN_MODEL,
                    "class '"
                            + programClass.name()
                            + "' may not use model '"
                            + request.destination()
                            + "'");
        }
        return programClass;
    }

    /** Requires a configuration that was confirmed recently; needed to start new work. */
    void requireCurrentConfig() {
        if (!mConfig.isCurrent()) {
            throw new ResultException(
                            ResultCode.CONFIGURATION_NOT_CURRENT,
                            "the configuration was last confirmed "
                                    + mConfig.confirmedAgeMillis()
                                    + " ms ago")
                    .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        }
    }

    /** Refuses the call if the store is failing, instead of letting it wait for the store. */
    void requireStore() {
        if (mGroupCommit.isStoreFailing()) {
            throw new ResultException(
                            ResultCode.STORE_UNAVAILABLE, ResultCode.STORE_UNAVAILABLE.summary())
                    .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        }
    }
}
