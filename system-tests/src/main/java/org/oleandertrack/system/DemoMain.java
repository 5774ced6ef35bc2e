package org.oleandertrack.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Demo that runs one program on a deployment on loopback. It compares the answer to each turn with
 * the answer of a target to the same request, sent to the target directly.
 */
public final class DemoMain {

    private static final String ORGANISATION = "kaasik-paern";
    private static final String PROGRAM = "name-check-1";
    private static final String MODEL = "agent-small";

    private final LocalDeployment mDeployment;
    private final HttpCaller mHttp;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final PrintStream mOutput;
    private final List<String> mMessages = new ArrayList<>();
    private int mWrongAnswers;

    private DemoMain(LocalDeployment deployment, HttpCaller http, PrintStream output) {
        mDeployment = deployment;
        mHttp = http;
        mOutput = output;
    }

    /**
     * Runs the demo; exits with 1 if an answer was wrong.
     *
     * @param args root of the repository, and a folder for settings and logs
     */
    public static void main(String[] args) throws Exception {
        HttpCaller http = new HttpCaller();
        DeploymentFiles files = new DeploymentFiles(Path.of(args[0]), Path.of(args[1]));
        int wrong;
        try (LocalDeployment deployment = new LocalDeployment(files, http)) {
            DemoMain demo = new DemoMain(deployment, http, System.out);
            demo.start();
            demo.runProgram();
            demo.showQueries();
            deployment.stopAll();
            wrong = demo.mWrongAnswers;
        }
        System.out.println(wrong == 0 ? "demo: all answers were right" : "demo: wrong: " + wrong);
        System.exit(wrong == 0 ? 0 : 1);
    }

    // Operations

    private void start() {
        mDeployment.startPlatform();
        mDeployment.startEngine("engine-a", MODEL);
        mDeployment.startEngine("engine-b", MODEL);
        mDeployment.startService("register", "register");
        mDeployment.startSidecar("sidecar-a", "zone-1", "engine-a");
        mDeployment.startSidecar("sidecar-b", "zone-2", "engine-b");
        mDeployment.startSidecar("sidecar-r", "zone-1", "register");
        mDeployment.startEntry("entry-1", "zone-1");
        mDeployment.startEntry("entry-2", "zone-2");
        mDeployment.publishHosts();
        mDeployment.awaitReady("entry-1");
        mDeployment.awaitReady("entry-2");
        mOutput.println("started 9 processes on loopback");
    }

    private void runProgram() throws IOException {
        sendTurn("entry-1", PROGRAM, 1, "Is the name Merilind free?", false);
        callTool();
        sendTurn("entry-2", PROGRAM, 2, "The register lists no such hull. Similar names?", false);
        sendSubAgentTurn();
        sendTurn("entry-1", PROGRAM, 3, "Summarise the result for the skipper.", true);
        sendReservationTwice();
    }

    private void showQueries() {
        for (String query : List.of("show targets", "show programs", "show members")) {
            HttpResponse<String> response =
                    mHttp.send(
                            "POST",
                            mDeployment.address("entry-1").resolve("/ctl"),
                            Map.of("Content-Type", "application/json"),
                            mMapper.createObjectNode()
                                    .put("command", query)
                                    .put("operator", "demo")
                                    .toString());
            mOutput.println("ctl> " + query + "\n  " + response.body());
            if (response.statusCode() != 200) {
                mWrongAnswers++;
            }
        }
    }

    // Helpers

    private void sendTurn(String entry, String program, int turn, String text, boolean streamed)
            throws IOException {
        mMessages.add(text);
        String body = chatBody(mMessages, streamed);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Oleandertrack-Organisation", ORGANISATION);
        headers.put("Oleandertrack-Program", program);
        headers.put("Oleandertrack-Turn", Integer.toString(turn));
        String answer = answerText(post(entry, "/v1/chat/completions", headers, body), streamed);
        String direct =
                answerText(post("engine-a", "/v1/chat/completions", Map.of(), body), streamed);
        mMessages.add(answer);
        check(program + " turn " + turn + " at " + entry, answer, direct);
    }

    private void sendSubAgentTurn() throws IOException {
        List<String> messages = List.of("List hull names that sound like Merilind.");
        String body = chatBody(messages, false);
        Map<String, String> headers =
                Map.of(
                        "Oleandertrack-Organisation",
                        ORGANISATION,
                        "Oleandertrack-Program",
                        PROGRAM + "/similar",
                        "Oleandertrack-Parent",
                        PROGRAM,
                        "Oleandertrack-Turn",
                        "1");
        String answer = answerText(post("entry-2", "/v1/chat/completions", headers, body), false);
        String direct = answerText(post("engine-b", "/v1/chat/completions", Map.of(), body), false);
        check("sub-agent " + PROGRAM + "/similar", answer, direct);
    }

    /** Calls a tool between two turns: the program queries the register service. */
    private void callTool() {
        HttpResponse<String> response =
                send(
                        "GET",
                        "entry-1",
                        "/services/register/hulls/merilind?year=2026",
                        Map.of("Oleandertrack-Organisation", ORGANISATION),
                        "");
        checkStatus("tool call to the register", response);
    }

    private void sendReservationTwice() throws IOException {
        Map<String, String> headers =
                Map.of(
                        "Oleandertrack-Organisation",
                        ORGANISATION,
                        "Idempotency-Key",
                        "reserve-merilind-1");
        String path = "/services/register/reservations";
        HttpResponse<String> first = send("POST", "entry-1", path, headers, "name=Merilind");
        checkStatus("reservation", first);
        HttpResponse<String> again = send("POST", "entry-2", path, headers, "name=Merilind");
        check("reservation sent again at entry-2", again.body(), first.body());
        check("executions of the reservation", executionCount("reserve-merilind-1"), "1");
    }

    private String executionCount(String key) throws IOException {
        URI uri = mDeployment.address("register").resolve("/control/executions");
        JsonNode answer = mMapper.readTree(mHttp.send("GET", uri, Map.of(), "").body());
        for (JsonNode execution : answer.path("executions")) {
            if (execution.path("idempotencyKey").asText().equals(key)) {
                return execution.path("count").asText();
            }
        }
        return "0";
    }

    private String chatBody(List<String> messages, boolean streamed) {
        var root = mMapper.createObjectNode();
        root.put("model", MODEL);
        root.put("max_tokens", 24);
        root.put("stream", streamed);
        var array = root.putArray("messages");
        for (int i = 0; i < messages.size(); i++) {
            array.addObject()
                    .put("role", i % 2 == 0 ? "user" : "assistant")
                    .put("content", messages.get(i));
        }
        return root.toString();
    }

    private String post(String name, String path, Map<String, String> headers, String body) {
        return send("POST", name, path, headers, body).body();
    }

    private HttpResponse<String> send(
            String method, String name, String path, Map<String, String> headers, String body) {
        URI uri = mDeployment.address(name).resolve(path);
        return mHttp.send(method, uri, headers, body);
    }

    private String answerText(String answer, boolean streamed) throws IOException {
        if (!streamed) {
            return firstChoice(mMapper.readTree(answer)).path("message").path("content").asText();
        }
        StringBuilder text = new StringBuilder();
        for (String line : answer.lines().toList()) {
            if (line.startsWith("data: {")) {
                JsonNode event = mMapper.readTree(line.substring("data: ".length()));
                text.append(firstChoice(event).path("delta").path("content").asText());
            }
        }
        return text.toString();
    }

    private static JsonNode firstChoice(JsonNode answer) {
        return answer.path("choices").path(0);
    }

    private void checkStatus(String what, HttpResponse<String> response) {
        check(what, Integer.toString(response.statusCode()), "200");
        mOutput.println("  " + response.body().strip());
    }

    private void check(String what, String actual, String expected) {
        boolean right = !actual.isEmpty() && actual.equals(expected);
        mOutput.println((right ? "right: " : "WRONG: ") + what + "\n  " + actual.strip());
        if (!right) {
            mOutput.println("  expected: " + expected.strip());
            mWrongAnswers++;
        }
    }
}
