package org.oleandertrack.system.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the requests of a scenario by name, and the conversations of its programs. Not thread safe.
 */
final class CallRegistry {

    private final Map<String, PendingCall> mCalls = new LinkedHashMap<>();
    private final Map<String, List<String>> mConversations = new HashMap<>();

    void add(String name, PendingCall call) {
        mCalls.put(name, call);
    }

    PendingCall call(String name) {
        PendingCall call = mCalls.get(name);
        if (call == null) {
            throw new AssertionError("no request has the name " + name);
        }
        return call;
    }

    /**
     * Waits for the answer to a request. If the request is a turn that succeeded, its text and
     * answer are added to the conversation of the program.
     */
    Answer finish(PendingCall call) {
        Answer answer = call.await();
        SentRequest request = call.request();
        if (request.conversationKey().isPresent() && answer.isComplete()) {
            List<String> texts = new ArrayList<>(request.texts());
            texts.add(answer.text());
            mConversations.merge(
                    request.conversationKey().get(),
                    List.copyOf(texts),
                    (existing, updated) -> existing.size() >= updated.size() ? existing : updated);
        }
        return answer;
    }

    /** Returns the texts and answers of the turns of a conversation so far. */
    List<String> conversation(String key) {
        return mConversations.getOrDefault(key, List.of());
    }

    /** Closes the connections of all requests whose answer has not ended. */
    void disconnectAll() {
        mCalls.values().stream().filter(call -> !call.isDone()).forEach(PendingCall::disconnect);
    }
}
