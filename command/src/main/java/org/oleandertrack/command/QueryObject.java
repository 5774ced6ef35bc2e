package org.oleandertrack.command;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** What can be queried, with the columns of its rows. */
public enum QueryObject {
    /** Calls that run at a target. */
    RUNNING("running", "organisation,program,class,turn,target,zone,level,running-millis"),
    /** Calls that wait for a target or for admission. */
    WAITING("waiting", "organisation,program,class,turn,target,zone,level,waiting-millis"),
    /** Recent refusals, newest first. */
    REFUSED("refused", "organisation,program,class,turn,code,name,age-millis"),
    /** Programs that have not ended. */
    PROGRAMS(
            "programs",
            "organisation,program,class,state,turn,spent-tokens,budget-tokens,shard,holder"),
    /** Targets of the region. */
    TARGETS("targets", "target,zone,kind,models,service,state,drained,running,waiting,long-calls"),
    /** Organisations with programs or with a policy of their own. */
    ORGANISATIONS("organisations", "organisation,weight,max-running,budget-tokens,running,waiting"),
    /** The configuration in force, one row for each attribute. */
    CONFIG("config", "version,kind,name,attribute,value"),
    /** Hosts that hold a lease or a connection. */
    MEMBERS("members", "node,role,zone,address,incarnation,state,config-version"),
    /** Shards and their holders. */
    SHARDS("shards", "shard,holder,incarnation,fence");

    private final String mText;
    // An enum's fields are immutable, which a list's type does not say.
    private final String mColumns;

    QueryObject(String text, String columns) {
        mText = text;
        mColumns = columns;
    }

    /** Returns the object of the given name, if there is one. */
    public static Optional<QueryObject> find(String text) {
        return Arrays.stream(values()).filter(o -> o.mText.equals(text)).findFirst();
    }

    /** Returns the name in queries. */
    public String text() {
        return mText;
    }

    /** Returns the columns of each row, in order. Conditions may name them. */
    public List<String> columns() {
        return List.of(mColumns.split(",", -1));
    }
}
