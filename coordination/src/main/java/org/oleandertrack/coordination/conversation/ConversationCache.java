package org.oleandertrack.coordination.conversation;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Recently used conversations by the id of their last turn, bounded in bytes. Thread-safe. */
final class ConversationCache {

    private final long mCapacityBytes;
    private final LinkedHashMap<String, Conversation> mConversations =
            new LinkedHashMap<>(64, 0.75f, true);
    private long mSizeBytes;

    ConversationCache(long capacityBytes) {
        mCapacityBytes = capacityBytes;
    }

    synchronized Optional<Conversation> get(String turnId) {
        return Optional.ofNullable(mConversations.get(turnId));
    }

    synchronized void put(String turnId, Conversation conversation) {
        remove(turnId);
        mConversations.put(turnId, conversation);
        mSizeBytes += conversation.sizeBytes();
        Iterator<Map.Entry<String, Conversation>> leastRecent =
                mConversations.entrySet().iterator();
        while (mSizeBytes > mCapacityBytes && leastRecent.hasNext()) {
            mSizeBytes -= leastRecent.next().getValue().sizeBytes();
            leastRecent.remove();
        }
    }

    synchronized void remove(String turnId) {
        Conversation removed = mConversations.remove(turnId);
        mSizeBytes -= removed == null ? 0 : removed.sizeBytes();
    }

    synchronized long sizeBytes() {
        return mSizeBytes;
    }
}
