package org.oleandertrack.coordination.program;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.oleandertrack.coordination.commit.RecordLocation;
import org.oleandertrack.core.budget.BudgetAccount;
import org.oleandertrack.core.program.HistoryDigest;

/**
 * Value of the row {@code program/{organisation}/{program}}. Immutable.
 *
 * @param programClass class of the program
 * @param headTurn number of the last committed turn; 0 if there is none
 * @param headDigest digest of the history up to and including the last committed turn
 * @param headRequestDigest digest of the request body of the last committed turn
 * @param budgetTokens budget; 0 in the row of a sub-agent, whose root program has the budget
 * @param spentTokens tokens used and settled, and unsettled grants of former holders, which count
 *     as spent
 * @param grantTokens tokens granted to the holder and not settled
 * @param fence fencing number of the holder that wrote the row
 * @param ended whether the program has ended
 * @param batch key of the batch object with the record of the last committed turn; empty if there
 *     is none
 * @param offset index of the record's first byte in the batch object
 * @param length length of the record in bytes
 * @param createdMillis time of creation, in milliseconds since 1970
 * @param writeId unique id of the write
 */
public record ProgramRow(
        @JsonProperty("c") String programClass,
        @JsonProperty("t") long headTurn,
        @JsonProperty("d") String headDigest,
        @JsonProperty("r") String headRequestDigest,
        @JsonProperty("b") long budgetTokens,
        @JsonProperty("s") long spentTokens,
        @JsonProperty("g") long grantTokens,
        @JsonProperty("f") long fence,
        @JsonProperty("e") boolean ended,
        @JsonProperty("k") String batch,
        @JsonProperty("o") int offset,
        @JsonProperty("l") int length,
        @JsonProperty("m") long createdMillis,
        @JsonProperty("w") String writeId) {

    static ProgramRow create(
            String programClass,
            BudgetAccount account,
            long fence,
            long createdMillis,
            String writeId) {
        return new ProgramRow(
                programClass,
                0,
                HistoryDigest.EMPTY,
                "",
                account.budgetTokens(),
                account.spentTokens(),
                account.grantTokens(),
                fence,
                false,
                "",
                0,
                0,
                createdMillis,
                writeId);
    }

    /** Returns the budget, the spent tokens and the grant of the row. */
    @JsonIgnore
    public BudgetAccount account() {
        return new BudgetAccount(budgetTokens, spentTokens, grantTokens);
    }

    /** Returns the location of the record of the last committed turn. */
    @JsonIgnore
    public RecordLocation location() {
        return new RecordLocation(batch, offset, length);
    }

    ProgramRow withAccount(BudgetAccount account, String newWriteId) {
        return new ProgramRow(
                programClass,
                headTurn,
                headDigest,
                headRequestDigest,
                account.budgetTokens(),
                account.spentTokens(),
                account.grantTokens(),
                fence,
                ended,
                batch,
                offset,
                length,
                createdMillis,
                newWriteId);
    }

    ProgramRow withFence(long newFence, String newWriteId) {
        return new ProgramRow(
                programClass,
                headTurn,
                headDigest,
                headRequestDigest,
                budgetTokens,
                spentTokens,
                grantTokens,
                newFence,
                ended,
                batch,
                offset,
                length,
                createdMillis,
                newWriteId);
    }

    ProgramRow withEnded(String newWriteId) {
        return new ProgramRow(
                programClass,
                headTurn,
                headDigest,
                headRequestDigest,
                budgetTokens,
                spentTokens,
                grantTokens,
                fence,
                true,
                batch,
                offset,
                length,
                createdMillis,
                newWriteId);
    }

    ProgramRow withHead(
            long turn,
            String digest,
            String requestDigest,
            RecordLocation location,
            String newWriteId) {
        return new ProgramRow(
                programClass,
                turn,
                digest,
                requestDigest,
                budgetTokens,
                spentTokens,
                grantTokens,
                fence,
                ended,
                location.batch(),
                location.offset(),
                location.length(),
                createdMillis,
                newWriteId);
    }
}
