package org.oleandertrack.server.entry;

import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.core.config.ProgramClass;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * What must hold before a call may start. A refusal here means that nothing was run. Thread safe.
 */
final class CallPreconditions {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ConfigSource mConfig;
    private final GroupCommit mCommit;

    CallPreconditions(ConfigSource config, GroupCommit commit) {
        mConfig = config;
        mCommit = commit;
    }

    /** Returns the class of a request, which must allow its model. */
    ProgramClass programClass(CallerRequest request) {
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
        boolean modelCall = request.maxGeneratedTokens() > 0;
        if (modelCall && !programClass.allowsModel(request.destination())) {
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

    /** Requires a configuration that was confirmed recently, for work that is new. */
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

    /** Requires a store that answers, so that a call does not wait for one that is down. */
    void requireStore() {
        if (mCommit.isStoreFailing()) {
            throw new ResultException(
                            ResultCode.STORE_UNAVAILABLE, ResultCode.STORE_UNAVAILABLE.summary())
                    .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        }
    }
}
