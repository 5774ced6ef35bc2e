package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import org.oleandertrack.standins.http.Json;

/** The loaded models, changed by commands that carry a fencing number. Thread-safe. */
final class ModelRegistry {

    private final boolean mCheckFence;
    private final Set<String> mLoadedModels;
    private final ArrayNode mAcceptedCommands = Json.array();
    private long mHighestFence;

    ModelRegistry(Collection<String> models, boolean checkFence) {
        mLoadedModels = new TreeSet<>(models);
        mCheckFence = checkFence;
    }

    synchronized boolean isLoaded(String model) {
        return mLoadedModels.contains(model);
    }

    /**
     * Executes a command. {@code load} and {@code unload} change the set of loaded models; other
     * commands are only recorded.
     *
     * @return whether the command was accepted; if the engine checks fencing numbers, it refuses a
     *     command whose number is lower than that of an accepted one
     */
    synchronized boolean execute(String command, String model, long fence) {
        if (mCheckFence && fence < mHighestFence) {
            return false;
        }
        mHighestFence = Math.max(mHighestFence, fence);
        mAcceptedCommands.addObject().put("order", command).put("model", model).put("fence", fence);
        switch (command) {
            case "load" -> mLoadedModels.add(model);
            case "unload" -> mLoadedModels.remove(model);
            default -> {}
        }
        return true;
    }

    synchronized long highestFence() {
        return mHighestFence;
    }

    synchronized JsonNode models() {
        ArrayNode node = Json.array();
        mLoadedModels.forEach(node::add);
        return node;
    }

    /** Returns the accepted commands, oldest first. */
    synchronized JsonNode acceptedCommands() {
        return mAcceptedCommands.deepCopy();
    }
}
