package org.oleandertrack.command;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The kinds of rows that can be queried, with their columns. */
public enum QueryObject {
    /** Calls that run at a target. */
    RUNNING("running", "organisation,program,class,turn,target,zone,level,running-millis"),
    /** Calls that wait for a target or for admission. */
    WAITING("waiting", "organisation,program,class,turn,target,zone,level,waiting-millis"),
    /** Calls that were refused or failed recently, newest first. */
    REFUSED("refused", "organisation,program,class,turn,code,name,age-millis"),
    /** Programs that have not ended yet. */
    PROGRAMS(
            "programs",
            "organisation,program,class,state,turn,spent-tokens,budget-tokens,shard,holder"),
    /** Targets of the region. */
    TARGETS("targets", "target,zone,kind,models,service,state,drained,running,waiting,long-calls"),
    /** Organisations that have calls, programs or a configured policy. */
    ORGANISATIONS("organisations", "organisation,weight,max-running,budget-tokens,running,waiting"),
    /** The configuration in force, one row for each attribute. */
    CONFIG("config", "version,kind,name,attribute,value"),
    /** Entry hosts and sidecars. */
    MEMBERS("members", "node,role,zone,address,incarnation,state,config-version"),
    /** Shards and their holders. */
    SHARDS("shards", "shard,holder,incarnation,fence");

    private final String mText;
    // A comma-separated string, because fields of an enum must have an immutable type.
    private final String mColumns;

    QueryObject(String text, String columns) {
        mText = text;
        mColumns = columns;
    }

    /** Returns the query object with the given name in the command language, if there is one. */
    public static Optional<QueryObject> find(String text) {
        return Arrays.stream(values()).filter(o -> o.mText.equals(text)).findFirst();
    }

    /** Returns the name in the command language. */
    public String text() {
        return mText;
    }

    /** Returns the columns of each row, in order; the conditions of a query may name them. */
    public List<String> columns() {
        return List.of(mColumns.split(",", -1));
    }
}
