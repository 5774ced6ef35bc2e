import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** Stand-in of a server: it registers itself in the store and answers what a handler says. */
final class Backend implements Closeable {

    /** Runs a request whose head was read and whose incarnation is the expected one. */
    interface Work {
        void run(Backend self, Http.Message head, InputStream in, OutputStream out, Socket socket)
                throws Exception;
    }

    final String mId;
    final String mService;
    final String mVersion;
    private final Store mStore;
    private final String mIp;
    private final int mSlots;
    private final Http.Server mServer;
    private final long mBorn = System.currentTimeMillis();
    private volatile boolean mClosed;
    private long mSequence;

    Backend(
            Store store,
            String id,
            String service,
            String version,
            String ip,
            int port,
            int slots,
            Work work)
            throws IOException {
        mStore = store;
        mId = id;
        mService = service;
        mVersion = version;
        mIp = ip;
        mSlots = slots;
        mServer =
                new Http.Server(
                        ip,
                        port,
                        (head, in, out, socket) -> {
                            String expected = head.header("X-Expected-Instance");
                            if (!expected.isEmpty() && !expected.equals(id)) {
                                Http.readBody(head, in);
                                Http.respond(
                                        out,
                                        421,
                                        Map.of(
                                                "X-Instance-Id",
                                                id,
                                                "X-Request-Id",
                                                head.header("X-Request-Id")),
                                        new byte[0]);
                                return;
                            }
                            work.run(this, head, in, out, socket);
                        });
    }

    int port() {
        return mServer.port();
    }

    /** Writes the server's entry now. */
    void register() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", mService);
        entry.put("address", mIp + ":" + mServer.port());
        entry.put("zone", "zone-a");
        entry.put("version", mVersion);
        entry.put("slots", mSlots);
        entry.put("state", "ready");
        entry.put("cold_remaining_ms", 0);
        entry.put("sequence", ++mSequence);
        entry.put("born", mBorn);
        mStore.put("servers", mId, Json.write(entry));
    }

    /** Headers of a successful response. */
    static Map<String, String> signed(Http.Message head) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", head.header("X-Request-Id"));
        headers.put("X-Response-Signature", "sig-" + head.header("X-Request-Id"));
        return headers;
    }

    boolean isClosed() {
        return mClosed;
    }

    /** Crashes: resets all connections and says nothing. */
    @Override
    public void close() throws IOException {
        mClosed = true;
        mServer.close();
    }
}
