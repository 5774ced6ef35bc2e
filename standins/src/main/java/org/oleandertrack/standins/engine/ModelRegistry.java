package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import org.oleandertrack.standins.http.Json;

/** The loaded models, changed by orders that may carry a fencing number. Thread-safe. */
final class ModelRegistry {

    private final boolean mCheckFence;
    private final Set<String> mModels;
    private final ArrayNode mOrders = Json.array();
    private long mHighestFence;

    ModelRegistry(Collection<String> models, boolean checkFence) {
        mModels = new TreeSet<>(models);
        mCheckFence = checkFence;
    }

    synchronized boolean has(String model) {
        return mModels.contains(model);
    }

    /**
     * Executes an order. {@code load} and {@code unload} change the list of models, other orders
     * are only recorded.
     *
     * @return whether it was accepted; an order with an older fencing number is refused if the
     *     engine checks it
     */
    synchronized boolean execute(String order, String model, long fence) {
        if (mCheckFence && fence < mHighestFence) {
            return false;
        }
        mHighestFence = Math.max(mHighestFence, fence);
        mOrders.addObject().put("order", order).put("model", model).put("fence", fence);
        switch (order) {
            case "load" -> mModels.add(model);
            case "unload" -> mModels.remove(model);
            default -> {}
        }
        return true;
    }

    synchronized long highestFence() {
        return mHighestFence;
    }

    synchronized JsonNode models() {
        ArrayNode node = Json.array();
        mModels.forEach(node::add);
        return node;
    }

    /** Returns the accepted orders, oldest first. */
    synchronized JsonNode orders() {
        return mOrders.deepCopy();
    }
}
