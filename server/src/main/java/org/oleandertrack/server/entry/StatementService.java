package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleandertrack.command.CommandParser;
import org.oleandertrack.command.ConfigCommand;
import org.oleandertrack.command.EndProgram;
import org.oleandertrack.command.Query;
import org.oleandertrack.command.QueryObject;
import org.oleandertrack.command.Statement;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.PeerConnection;
import org.tinylog.Logger;

/**
 * Runs operators' statements. Queries collect rows of all connected entry hosts, and the holder of
 * a program ends it. Thread safe.
 */
final class StatementService {

    private final CommandParser mParser;
    private final QueryService mQueries;
    private final HostDirectory mHosts;
    private final PeerStatementClient mPeerClient;
    private final ConfigWriter mConfig;
    private final ProgramEnder mProgramEnder;

    StatementService(
            CommandParser parser,
            QueryService queries,
            HostDirectory hosts,
            PeerStatementClient peerClient,
            ConfigWriter config,
            ProgramEnder programEnder) {
        mParser = parser;
        mQueries = queries;
        mHosts = hosts;
        mPeerClient = peerClient;
        mConfig = config;
        mProgramEnder = programEnder;
    }

    // Operations

    /** Runs a statement, with the help of other entry hosts if needed. Blocks. */
    StatementResult run(String text, String operator) {
        Statement statement = mParser.parse(text);
        return switch (statement) {
            case Query query -> runQuery(query, text, operator);
            case ConfigCommand command -> changeConfig(command, text, operator);
            case EndProgram end -> endProgram(end, text, operator);
        };
    }

    /** Runs a statement that another entry host forwarded, in this process only. Blocks. */
    StatementResult runLocally(String text, String operator) {
        return switch (mParser.parse(text)) {
            case Query query -> mQueries.runLocally(query);
            case EndProgram end -> endProgramLocally(end, operator);
            case ConfigCommand command -> changeConfig(command, text, operator);
        };
    }

    // Helpers

    private StatementResult runQuery(Query query, String text, String operator) {
        StatementResult own = mQueries.runLocally(query);
        if (!QueryService.isPerEntryHost(query.object())) {
            return own;
        }
        List<List<String>> rows = new ArrayList<>(own.rows());
        List<String> missingNodes = new ArrayList<>();
        for (PeerConnection peer : mHosts.entryConnections()) {
            try {
                rows.addAll(mPeerClient.run(peer, text, operator).rows());
            } catch (ResultException e) {
                missingNodes.add(peer.peer().getNode());
            }
        }
        if (query.object() == QueryObject.MEMBERS) {
            rows.addAll(sidecarRows(query));
        }
        return new StatementResult(own.columns(), rows, missingNodes);
    }

    private List<List<String>> sidecarRows(Query query) {
        List<List<String>> rows = new ArrayList<>();
        for (Map<String, String> row : mQueries.sidecarRows()) {
            if (query.matches(row)) {
                rows.add(
                        query.object().columns().stream()
                                .map(column -> row.getOrDefault(column, ""))
                                .toList());
            }
        }
        return rows;
    }

    private StatementResult changeConfig(ConfigCommand command, String text, String operator) {
        long version = mConfig.change(command, operator);
        Logger.info("operator {} committed configuration version {}: {}", operator, version, text);
        return StatementResult.of(List.of("version"), List.of(List.of(Long.toString(version))));
    }

    private StatementResult endProgram(EndProgram end, String text, String operator) {
        Optional<String> holder = mProgramEnder.remoteHolder(end.organisation(), end.program());
        if (holder.isEmpty()) {
            return endProgramLocally(end, operator);
        }
        PeerConnection connection =
                mHosts.entryConnection(holder.get())
                        .orElseThrow(
                                () ->
                                        new ResultException(
                                                ResultCode.HOLDER_UNREACHABLE,
                                                holder.get() + " is not connected"));
        return mPeerClient.run(connection, text, operator);
    }

    private StatementResult endProgramLocally(EndProgram end, String operator) {
        mProgramEnder.end(end.organisation(), end.program());
        Logger.info(
                "operator {} ended program {} of {}", operator, end.program(), end.organisation());
        return StatementResult.of(
                List.of("organisation", "program", "state"),
                List.of(List.of(end.organisation(), end.program(), "ended")));
    }
}
