package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Tests which requests are refused with which code, and what a valid one sends to the target. */
final class CallerRequestFactoryTest {

    private static final String MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]";
    private static final String BODY = "{\"model\":\"m\"," + MESSAGES + "}";

    private final ObjectMapper mMapper = new ObjectMapper();
    private final CallerRequestFactory mFactory = new CallerRequestFactory(mMapper, 9_000, 256);
    private final Map<String, List<String>> mHeaders = new LinkedHashMap<>();

    CallerRequestFactoryTest() {
        header("Oleandertrack-Organisation", "org");
    }

    // Bodies

    /** Guards against a body that is not a JSON object and gets a different result code. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "null", "1", "\"a\"", "{\"model\":}"})
    void bodyMustBeAnObject(String body) {
        assertModelRefused(ResultCode.INVALID_JSON, body);
    }

    /** Guards against a malformed call that reaches a model engine. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"model\":\"m\"}",
                "{\"model\":\"\",\"messages\":[{\"role\":\"user\"}]}",
                "{\"model\":1,\"messages\":[{\"role\":\"user\"}]}",
                "{\"messages\":[{\"role\":\"user\"}]}",
                "{\"model\":\"m\",\"messages\":[]}",
                "{\"model\":\"m\",\"messages\":{}}",
                "{\"model\":\"m\",\"messages\":[1]}",
                "{\"model\":\"m\",\"messages\":[{}]}",
                "{\"model\":\"m\",\"messages\":[{\"role\":1}]}",
                "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}],\"stream\":\"yes\"}",
            })
    void fieldsMustHaveTheirTypes(String body) {
        assertModelRefused(ResultCode.INVALID_REQUEST, body);
    }

    /** Guards against a token limit that evades the budget, for instance by a long overflow. */
    @ParameterizedTest
    @ValueSource(strings = {"0", "-1", "1.5", "\"9\"", "1099511627777", "18446744073709551617"})
    void tokenLimitMustBeInRange(String tokens) {
        for (String field : List.of("max_tokens", "max_completion_tokens")) {
            assertModelRefused(
                    ResultCode.INVALID_REQUEST,
                    "{\"model\":\"m\"," + MESSAGES + ",\"" + field + "\":" + tokens + "}");
        }
    }

    /** Guards against a response with more tokens than the budget reserved for it. */
    @Test
    void engineReceivesTheTokenLimitThatIsReserved() throws Exception {
        CallerRequest withoutLimit = model(BODY);
        assertEquals(256, withoutLimit.maxGeneratedTokens());
        assertEquals(256, engineBody(withoutLimit).path("max_tokens").asLong());

        CallerRequest withLimit =
                model(
                        "{\"model\":\"m\","
                                + MESSAGES
                                + ",\"max_tokens\":9,\"max_completion_tokens\":7}");
        assertEquals(7, withLimit.maxGeneratedTokens());
        assertEquals(7, engineBody(withLimit).path("max_tokens").asLong());
        assertFalse(engineBody(withLimit).has("max_completion_tokens"));
    }

    /** Guards against a stream without usage, whose tokens the budget would not count. */
    @Test
    void streamRequestsItsUsage() throws Exception {
        CallerRequest request = model("{\"model\":\"m\"," + MESSAGES + ",\"stream\":true}");
        assertTrue(request.streamed());
        assertTrue(engineBody(request).path("stream_options").path("include_usage").asBoolean());
    }

    // Headers

    /** Guards against a call that is charged to no organisation. */
    @Test
    void organisationIsRequired() {
        mHeaders.clear();
        assertModelRefused(ResultCode.MISSING_HEADER, BODY);
        assertServiceRefused(ResultCode.MISSING_HEADER, "GET");
    }

    /** Guards against header values that are accepted although they are not valid. */
    @ParameterizedTest
    @CsvSource({
        "Organisation, a b",
        "Organisation, a/b",
        "Class, ''",
        "Program, a//b",
        "Program, a/b/c/d/e/f/g/h/i",
        "Parent, a b",
        "Turn, 0",
        "Turn, one",
        "Turn, 2147483648",
        "Budget-Tokens, 0",
        "Budget-Tokens, 1099511627777",
        "Deadline-Ms, 0",
        "Deadline-Ms, 86400001",
        "Deadline-Ms, 9223372036854775808",
        "Repeatable, yes",
        "End, 1",
    })
    void invalidHeaderIsRefused(String name, String value) {
        header("Oleandertrack-Program", "p");
        header("Oleandertrack-Turn", "1");
        header("Oleandertrack-" + name, value);
        assertModelRefused(ResultCode.INVALID_HEADER, BODY);
    }

    /** Guards against one of two contradicting header values being ignored. */
    @Test
    void headerGivenTwiceIsRefused() {
        mHeaders.put("Oleandertrack-Class", List.of("a", "b"));
        assertModelRefused(ResultCode.INVALID_HEADER, BODY);
    }

    /** Guards against a program without a turn number and a turn number without a program. */
    @Test
    void programAndTurnBelongTogether() {
        header("Oleandertrack-Program", "p");
        assertModelRefused(ResultCode.MISSING_HEADER, BODY);
        mHeaders.remove("Oleandertrack-Program");
        header("Oleandertrack-Turn", "1");
        assertModelRefused(ResultCode.MISSING_HEADER, BODY);
    }

    /** Guards against a sub-agent that is charged to another root program than its parent. */
    @ParameterizedTest
    @CsvSource({"other/child, root", "root, root", "rootchild, root", ", root"})
    void idOfSubAgentMustBeginWithItsParent(String program, String parent) {
        if (program != null) {
            header("Oleandertrack-Program", program);
            header("Oleandertrack-Turn", "1");
        }
        header("Oleandertrack-Parent", parent);
        assertModelRefused(ResultCode.INVALID_PARENT, BODY);
    }

    /** Guards against a call that may not be repeated but has no key to recognise a repetition. */
    @Test
    void callThatMayNotBeRepeatedNeedsAKey() {
        assertServiceRefused(ResultCode.IDEMPOTENCY_KEY_REQUIRED, "POST");
        header("Oleandertrack-Repeatable", "false");
        assertServiceRefused(ResultCode.IDEMPOTENCY_KEY_REQUIRED, "GET");
        assertModelRefused(ResultCode.IDEMPOTENCY_KEY_REQUIRED, BODY);
        header("Idempotency-Key", "k".repeat(257));
        assertServiceRefused(ResultCode.INVALID_HEADER, "POST");
        header("Idempotency-Key", "k");
        assertEquals(Optional.of("k"), service("POST").idempotencyKey());
    }

    /** Guards against retries of HTTP methods that are not idempotent. */
    @Test
    void httpMethodDecidesWhetherACallMayBeRepeated() {
        header("Idempotency-Key", "k");
        for (String method : List.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS")) {
            assertTrue(service(method).repeatable(), method);
        }
        for (String method : List.of("POST", "PATCH", "get", "PURGE")) {
            assertFalse(service(method).repeatable(), method);
        }
        assertTrue(model(BODY).repeatable());
    }

    // Services

    /** Guards against a service name, such as {@code ..}, that changes the path at the target. */
    @Test
    void serviceNameIsChecked() {
        ResultException refusal =
                assertThrows(
                        ResultException.class,
                        () ->
                                mFactory.createServiceCall(
                                        "..%2f", "GET", "/", mHeaders, new byte[0]));
        assertEquals(ResultCode.UNKNOWN_SERVICE, refusal.code());
    }

    /** Guards against changed bodies or headers, and internal headers sent to the target. */
    @Test
    void serviceCallIsPassedThrough() {
        mHeaders.put("X-Many", List.of("1", "2"));
        header("Accept-Encoding", "gzip");
        byte[] body = {(byte) 0xff, 0, (byte) 0x80};
        CallerRequest request = mFactory.createServiceCall("s", "PUT", "/a?b=c", mHeaders, body);
        assertEquals("/a?b=c", request.path());
        assertEquals(
                List.of("X-Many=1", "X-Many=2"),
                request.headers().stream().map(h -> h.getName() + "=" + h.getValue()).toList());
        assertEquals(com.google.protobuf.ByteString.copyFrom(body), request.body());
    }

    // Helpers

    private void header(String name, String value) {
        mHeaders.put(name, List.of(value));
    }

    private CallerRequest model(String body) {
        return mFactory.createModelCall(mHeaders, body.getBytes(StandardCharsets.UTF_8));
    }

    private CallerRequest service(String method) {
        return mFactory.createServiceCall("s", method, "/", mHeaders, new byte[0]);
    }

    private JsonNode engineBody(CallerRequest request) throws Exception {
        return mMapper.readTree(request.body().toStringUtf8());
    }

    private void assertModelRefused(ResultCode code, String body) {
        assertRefusal(code, assertThrows(ResultException.class, () -> model(body), body));
    }

    private void assertServiceRefused(ResultCode code, String method) {
        assertRefusal(code, assertThrows(ResultException.class, () -> service(method), method));
    }

    private static void assertRefusal(ResultCode code, ResultException refusal) {
        assertEquals(code, refusal.code(), refusal.getMessage());
        assertEquals(Execution.NOT_RUN, refusal.execution());
    }
}
