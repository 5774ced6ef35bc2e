import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Conversations that the gateways keep, and a final fault: all gateways are killed at once and
 * start again. One conversation is long, the others are short.
 */
final class Chat {

    private static final int GATEWAYS = 3;
    private static final int SHORT_CONVERSATIONS = 12;
    private static final double RECOVERY_SECONDS = 12;
    private static final double LAST_SECONDS = 4;

    private final Lab mLab;
    private final Traffic mTraffic;
    // Digests of the bodies that the servers received, by request id.
    private final Map<String, String> mReceived = new ConcurrentHashMap<>();

    Chat(Lab lab) {
        mLab = lab;
        mTraffic = new Traffic(lab);
    }

    /** A turn that was answered whole, and what the next turn's body has to begin with. */
    private record Turn(String id, byte[] conversation) {}

    /**
     * Runs the case.
     *
     * @param inputs bodies of the turns of the long conversation
     */
    void run(List<byte[]> inputs) throws Exception {
        mLab.mStore.put("op", "config", config());
        for (int i = 1; i <= 3; i++) {
            startServer(i);
        }
        mLab.startGateways(GATEWAYS, Map.of());
        List<Turn> others = new ArrayList<>();
        for (int i = 0; i < SHORT_CONVERSATIONS; i++) {
            Turn first = new Turn("", new byte[0]);
            others.add(
                    require(turn("short", i % GATEWAYS, first, ("question " + i).getBytes())));
        }
        Turn last = new Turn("", new byte[0]);
        for (byte[] input : inputs) {
            last = require(turn("long", 0, last, input));
        }
        mLab.record(
                "the long conversation has %d bytes, its last turn %s was answered whole",
                last.conversation().length, last.id());
        Thread.sleep(3_000);
        if (mLab.mTrouble) {
            mLab.record("all gateways are killed");
            for (Lab.Gateway gateway : mLab.mGateways) {
                gateway.signal("KILL");
            }
            Thread.sleep(500);
            for (Lab.Gateway gateway : mLab.mGateways) {
                gateway.start();
            }
        }
        double backSeconds = mLab.seconds();
        int longTries = 0;
        int longServed = 0;
        int lastOthers = 0;
        int lastOthersServed = 0;
        for (int i = 0; mLab.seconds() < backSeconds + RECOVERY_SECONDS; i++) {
            double seconds = mLab.seconds() - backSeconds;
            boolean isLong = i % 4 == 0;
            Turn previous = isLong ? last : others.get(i % others.size());
            boolean served;
            try {
                served =
                        turn(isLong ? "long-next" : "short-next", i % GATEWAYS, previous, "go on".getBytes())
                                != null;
            } catch (IOException e) {
                // The gateway has not started yet.
                served = false;
            }
            if (isLong) {
                longTries++;
                longServed += served ? 1 : 0;
            } else if (seconds > RECOVERY_SECONDS - LAST_SECONDS) {
                lastOthers++;
                lastOthersServed += served ? 1 : 0;
            }
            Thread.sleep(150);
        }
        mTraffic.writeRecord();
        mLab.record(
                "next turns of the long conversation: %d of %d served; of the others in the last"
                        + " 4 s: %d of %d",
                longServed, longTries, lastOthersServed, lastOthers);
        System.out.printf(
                "long: %d of %d served; others in the last 4 s: %d of %d%n",
                longServed, longTries, lastOthersServed, lastOthers);
        if (5 * lastOthersServed < 4 * lastOthers) {
            throw new Lab.CannotRun("too few of the other turns were served");
        }
        mLab.finish(longServed == 0);
    }

    /**
     * Runs the case with planned work alone: the gateways are stopped and started in turn.
     *
     * @param inputs bodies of the turns of the long conversation
     */
    void runWithPlannedRestarts(List<byte[]> inputs) throws Exception {
        mLab.mStore.put("op", "config", config());
        for (int i = 1; i <= 3; i++) {
            startServer(i);
        }
        mLab.startGateways(GATEWAYS, Map.of());
        Turn last = new Turn("", new byte[0]);
        for (byte[] input : inputs) {
            last = require(turn("long", 0, last, input));
        }
        double answeredSeconds = mLab.seconds();
        mLab.record(
                "the long conversation has %d bytes, its last turn %s was answered whole",
                last.conversation().length, last.id());
        for (Lab.Gateway gateway : mLab.mTrouble ? mLab.mGateways : List.<Lab.Gateway>of()) {
            gateway.signal("TERM");
            gateway.mProcess.waitFor();
            mLab.record("%s has ended with code %d", gateway.mName, gateway.mProcess.exitValue());
            gateway.start();
            gateway.awaitReady();
            Thread.sleep(2_000);
        }
        // From now on all gateways have been in touch for the stable window.
        Thread.sleep(4_000);
        int served = 0;
        int firstServed = 0;
        int tries = 0;
        while (tries < 12) {
            served += isServed("long-next", tries % GATEWAYS, last) ? 1 : 0;
            firstServed += isServed("first", tries % GATEWAYS, new Turn("", new byte[0])) ? 1 : 0;
            tries++;
            Thread.sleep(200);
        }
        mTraffic.writeRecord();
        double ageSeconds = mLab.seconds() - answeredSeconds;
        mLab.record(
                "next turns of the long conversation: %d of %d served, %.0f s after it was answered;"
                        + " first turns: %d of %d",
                served, tries, ageSeconds, firstServed, tries);
        System.out.printf(
                "long: %d of %d served after %.0f s; first turns: %d of %d%n",
                served, tries, ageSeconds, firstServed, tries);
        if (10 * firstServed < 9 * tries || ageSeconds > 60) {
            throw new Lab.CannotRun("too few first turns were served, or it took too long");
        }
        mLab.finish(served == 0);
    }

    /** Runs the case in which the last turns before the fault end while the store is silent. */
    void runInOutage() throws Exception {
        mLab.mStore.put("op", "config", config());
        for (int i = 1; i <= 3; i++) {
            startServer(i);
        }
        mLab.startGateways(GATEWAYS, Map.of());
        List<Turn> others = new ArrayList<>();
        List<Turn> last = new ArrayList<>();
        Turn first = new Turn("", new byte[0]);
        for (int i = 0; i < SHORT_CONVERSATIONS; i++) {
            others.add(require(turn("before", i % GATEWAYS, first, ("question " + i).getBytes())));
            last.add(require(turn("before", i % GATEWAYS, first, ("request " + i).getBytes())));
        }
        boolean[] away = {mLab.mTrouble};
        mLab.mStore.mFault = table -> away[0];
        mLab.record(mLab.mTrouble ? "the store is silent" : "the store stays up");
        Thread.sleep(500);
        for (int i = 0; i < 2; i++) {
            last.set(i, require(turn("during", i % GATEWAYS, last.get(i), "more".getBytes())));
            mLab.record("turn %s was answered whole", last.get(i).id());
        }
        if (mLab.mTrouble) {
            killAllAndStart();
        }
        double backSeconds = mLab.seconds();
        Thread.sleep(500);
        away[0] = false;
        mLab.record("the store answers");
        int served = 0;
        int tries = 0;
        int lastOthers = 0;
        int lastOthersServed = 0;
        for (int i = 0; mLab.seconds() < backSeconds + RECOVERY_SECONDS; i++) {
            boolean isLate = mLab.seconds() - backSeconds > RECOVERY_SECONDS - LAST_SECONDS;
            boolean isHeld = i % 3 == 0;
            Turn previous = isHeld ? last.get(i / 3 % 2) : others.get(i % others.size());
            boolean ok = isServed(isHeld ? "next" : "other-next", i % GATEWAYS, previous);
            tries += isHeld ? 1 : 0;
            served += isHeld && ok ? 1 : 0;
            lastOthers += !isHeld && isLate ? 1 : 0;
            lastOthersServed += !isHeld && isLate && ok ? 1 : 0;
            Thread.sleep(150);
        }
        mTraffic.writeRecord();
        mLab.record(
                "next turns: %d of %d served; of others in the last 4 s: %d of %d",
                served, tries, lastOthersServed, lastOthers);
        System.out.printf(
                "next turns: %d of %d served; others in the last 4 s: %d of %d%n",
                served, tries, lastOthersServed, lastOthers);
        if (5 * lastOthersServed < 4 * lastOthers) {
            throw new Lab.CannotRun("too few of the other turns were served");
        }
        mLab.finish(served == 0);
    }

    private void killAllAndStart() throws Exception {
        mLab.record("all gateways are killed");
        for (Lab.Gateway gateway : mLab.mGateways) {
            gateway.signal("KILL");
        }
        Thread.sleep(500);
        for (Lab.Gateway gateway : mLab.mGateways) {
            gateway.start();
        }
    }

    private boolean isServed(String label, int gateway, Turn previous) throws Exception {
        try {
            return turn(label, gateway, previous, "go on".getBytes()) != null;
        } catch (IOException e) {
            // The gateway has not started yet.
            return false;
        }
    }

    private Turn require(Turn turn) {
        if (turn == null) {
            throw new Lab.CannotRun("a turn before the fault was not answered whole");
        }
        return turn;
    }

    /** Sends a turn; returns it if a server ran it with the right body and it was answered whole. */
    private Turn turn(String label, int gateway, Turn previous, byte[] input) throws Exception {
        String id;
        Traffic.Sent sent;
        try (Http.Connection connection =
                new Http.Connection(
                        mLab.mGateways.get(gateway).mIp, Lab.FRONT_PORT, 8_000)) {
            Map<String, String> headers = new java.util.LinkedHashMap<>();
            headers.put("X-Deadline-Milliseconds", "4000");
            headers.put("X-Model", "m");
            headers.put("X-Token-Counts", "1460,80");
            headers.put("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660");
            if (!previous.id().isEmpty()) {
                headers.put("X-Previous-Turn", previous.id());
            }
            sent = mTraffic.call(connection, label, "POST", "/chat/1", headers, input);
            id = sent.mId;
        }
        byte[] expected = concat(previous.conversation(), input);
        if (sent.mStatus != 200) {
            return null;
        }
        if (!digest(expected).equals(mReceived.get(id))) {
            mLab.record("the server got another body for %s", id);
            return null;
        }
        return new Turn(id, concat(expected, "one\ntwo\n".getBytes()));
    }

    private void startServer(int number) throws IOException {
        new Backend(
                        mLab.mStore,
                        "i-llm-" + number,
                        "llm",
                        "v1",
                        mLab.ip(100 + number),
                        0,
                        12,
                        (self, head, in, out, socket) -> {
                            byte[] body = Http.readBody(head, in);
                            String id = head.header("X-Request-Id");
                            mReceived.put(id, digest(body));
                            mTraffic.ran(id);
                            StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\n");
                            Backend.signed(head)
                                    .forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
                            text.append("Content-Type: text/event-stream\r\n");
                            text.append("Transfer-Encoding: chunked\r\n\r\n");
                            out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
                            for (String event : List.of("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n")) {
                                String chunk =
                                        Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
                                out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
                                out.flush();
                                Thread.sleep(30);
                            }
                            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                            out.flush();
                        })
                .register();
    }

    private static String digest(byte[] bytes) throws IOException {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IOException(e);
        }
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] both = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }

    private static String config() {
        return """
               {"version":3,"routes":[{"name":"r-chat","host":"lab.example","prefix":"/chat/",
               "kind":"streaming","timeout_ms":4000,"target_latency_ms":250,"priority":0,
               "service":"llm","attempts":1,"keeps_history":true,"retention_s":60.0,
               "allow_anonymous":false,"sticky_sessions":true,"allow_resume":false,
               "gap_target_ms":150}],
               "services":[{"name":"llm","health_path":"/health","connection_limit":200,
               "engine":{"slots":12,"cache_tokens":105761,"stride":11,"models":[{"name":"m"}]}}],
               "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
               "header_timeout_ms":3000,"idle_timeout_ms":15000}}
               """;
    }
}
