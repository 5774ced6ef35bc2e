import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Requests that clients sent, and what became of them. */
final class Traffic {

    /** One client attempt. Times in seconds of the lab; 0 if it has not happened. */
    static final class Sent {
        final String mId;
        final String mLabel;
        final double mSentSeconds;
        volatile double mRunSeconds;
        volatile int mStatus;
        volatile String mEnd = "open";
        volatile double mEndSeconds;
        volatile String mBody = "";

        Sent(String id, String label, double sentSeconds) {
            mId = id;
            mLabel = label;
            mSentSeconds = sentSeconds;
        }
    }

    final Map<String, Sent> mById = new ConcurrentHashMap<>();
    final List<Sent> mAll = Collections.synchronizedList(new ArrayList<>());
    private final AtomicLong mNext = new AtomicLong(1);
    private final Lab mLab;

    Traffic(Lab lab) {
        mLab = lab;
    }

    /** Records that a server began to run a request. */
    void ran(String id) {
        Sent sent = mById.get(id);
        if (sent != null && sent.mRunSeconds == 0) {
            sent.mRunSeconds = mLab.seconds();
        }
    }

    /** Sends one request on a connection and waits for its answer. */
    Sent call(
            Http.Connection connection,
            String label,
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body) {
        String id = String.format("%016x", 0x5a00000000000000L + mNext.getAndIncrement());
        Sent sent = new Sent(id, label, mLab.seconds());
        mById.put(id, sent);
        mAll.add(sent);
        Map<String, String> all = new LinkedHashMap<>();
        all.put("Host", "lab.example");
        all.put("X-Request-Id", id);
        all.putAll(headers);
        try {
            connection.send(method, uri, all, body);
            Http.Message answer = connection.receive();
            sent.mStatus = answer.status();
            sent.mBody = answer.text();
            sent.mEnd = "answered";
        } catch (IOException e) {
            sent.mEnd = "no answer: " + e.getMessage();
        }
        sent.mEndSeconds = mLab.seconds();
        return sent;
    }

    /** Writes all requests to the record. */
    void writeRecord() {
        for (Sent sent : List.copyOf(mAll)) {
            mLab.record(
                    "request %s %s sent %.3f run %s %s%s at %.3f",
                    sent.mId,
                    sent.mLabel,
                    sent.mSentSeconds,
                    sent.mRunSeconds == 0 ? "no" : String.format("%.3f", sent.mRunSeconds),
                    sent.mEnd,
                    sent.mStatus == 0 ? "" : " " + sent.mStatus,
                    sent.mEndSeconds);
        }
    }

    /** Returns the largest number of requests both sent and run in any window, and its start. */
    double[] busiestWindow(String label, double windowSeconds) {
        List<Sent> run =
                List.copyOf(mAll).stream()
                        .filter(sent -> sent.mLabel.equals(label) && sent.mRunSeconds > 0)
                        .toList();
        double most = 0;
        double start = 0;
        for (Sent first : run) {
            double from = first.mSentSeconds;
            long count =
                    run.stream()
                            .filter(
                                    sent ->
                                            sent.mSentSeconds >= from
                                                    && sent.mRunSeconds <= from + windowSeconds)
                            .count();
            if (count > most) {
                most = count;
                start = from;
            }
        }
        return new double[] {most, start};
    }
}
