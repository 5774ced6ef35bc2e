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

/** Runs operators' statements for the whole region. Thread safe. */
final class StatementService {

    private final CommandParser mParser;
    private final QueryService mQueries;
    private final HostDirectory mHosts;
    private final PeerStatements mPeers;
    private final ConfigWriter mConfig;
    private final ProgramEnder mEnder;

    StatementService(
            CommandParser parser,
            QueryService queries,
            HostDirectory hosts,
            PeerStatements peers,
            ConfigWriter config,
            ProgramEnder ender) {
        mParser = parser;
        mQueries = queries;
        mHosts = hosts;
        mPeers = peers;
        mConfig = config;
        mEnder = ender;
    }

    // Operations

    /** Runs a statement. Blocks. */
    StatementAnswer run(String text, String operator) {
        Statement statement = mParser.parse(text);
        return switch (statement) {
            case Query query -> queryRegion(query, text, operator);
            case ConfigCommand command -> change(command, text, operator);
            case EndProgram end -> end(end, text, operator);
        };
    }

    /** Runs a statement that another entry host passed on, in this process only. */
    StatementAnswer runLocally(String text, String operator) {
        return switch (mParser.parse(text)) {
            case Query query -> mQueries.answer(query);
            case EndProgram end -> endHere(end, operator);
            case ConfigCommand command -> change(command, text, operator);
        };
    }

    // Helpers

    private StatementAnswer queryRegion(Query query, String text, String operator) {
        StatementAnswer own = mQueries.answer(query);
        if (!QueryService.isSpread(query.object())) {
            return own;
        }
        List<List<String>> rows = new ArrayList<>(own.rows());
        List<String> missing = new ArrayList<>();
        for (PeerConnection peer : mHosts.entryHosts()) {
            try {
                rows.addAll(mPeers.run(peer, text, operator).rows());
            } catch (ResultException e) {
                missing.add(peer.peer().getNode());
            }
        }
        if (query.object() == QueryObject.MEMBERS) {
            rows.addAll(sidecarRows(query));
        }
        return new StatementAnswer(own.columns(), rows, missing);
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

    private StatementAnswer change(ConfigCommand command, String text, String operator) {
        long version = mConfig.change(command, operator);
        Logger.info("operator {} made version {}: {}", operator, version, text);
        return StatementAnswer.of(List.of("version"), List.of(List.of(Long.toString(version))));
    }

    private StatementAnswer end(EndProgram end, String text, String operator) {
        Optional<String> holder = mEnder.holderElsewhere(end.organisation(), end.program());
        if (holder.isEmpty()) {
            return endHere(end, operator);
        }
        PeerConnection connection =
                mHosts.entryHost(holder.get())
                        .orElseThrow(
                                () ->
                                        new ResultException(
                                                ResultCode.HOLDER_UNREACHABLE,
                                                holder.get() + " is not connected"));
        return mPeers.run(connection, text, operator);
    }

    private StatementAnswer endHere(EndProgram end, String operator) {
        mEnder.end(end.organisation(), end.program());
        Logger.info(
                "operator {} ended program {} of {}", operator, end.program(), end.organisation());
        return StatementAnswer.of(
                List.of("organisation", "program", "state"),
                List.of(List.of(end.organisation(), end.program(), "ended")));
    }
}
