package org.oleandertrack.server.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.CallKind;
import org.oleandertrack.protocol.message.Header;

/** Creates requests from what callers send and validates them. Thread safe. */
final class CallerRequestFactory {

    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9_.-]{1,128}");
    private static final Pattern PROGRAM_ID_PATTERN =
            Pattern.compile("[A-Za-z0-9_.-]{1,128}(/[A-Za-z0-9_.-]{1,128}){0,7}");
    private static final int MAX_IDEMPOTENCY_KEY_CHARS = 256;
    private static final long MAX_TOKENS = 1L << 40;
    private static final long MAX_TIMEOUT_MILLIS = 24L * 3_600_000;
    private static final String DEFAULT_CLASS = "default";
    private static final Set<String> REPEATABLE_METHODS =
            Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");
    private static final String MODEL_PATH = "/v1/chat/completions";

    private final ObjectMapper mMapper;
    private final long mDefaultTimeoutMillis;
    private final long mDefaultMaxTokens;

    CallerRequestFactory(ObjectMapper mapper, long defaultTimeoutMillis, long defaultMaxTokens) {
        mMapper = mapper;
        mDefaultTimeoutMillis = defaultTimeoutMillis;
        mDefaultMaxTokens = defaultMaxTokens;
    }

    // Operations

    /**
     * Creates a model call from the body of a chat completion request.
     *
     * @throws ResultException if the headers or the body are not valid
     */
    CallerRequest createModelCall(Map<String, List<String>> headers, byte[] body) {
        ObjectNode json = parse(body);
        String model = requireText(json, "model");
        requireMessages(json);
        boolean streamed = readOptionalBoolean(json, "stream");
        long maxTokens = readMaxTokens(json);
        CallerHeaderReader reader = new CallerHeaderReader(headers);
        boolean repeatable = reader.readBoolean(CallerHeaders.REPEATABLE).orElse(true);
        Optional<String> program = readProgram(reader);
        requireRepeatableTurn(program, repeatable);
        prepareForEngine(json, reader, program, streamed, maxTokens);
        return new CallerRequest(
                CallKind.CALL_KIND_MODEL,
                readOrganisation(reader),
                reader.readMatching(CallerHeaders.PROGRAM_CLASS, NAME_PATTERN)
                        .orElse(DEFAULT_CLASS),
                program,
                readTurn(reader, program),
                reader.readNumber(CallerHeaders.BUDGET_TOKENS, 1, MAX_TOKENS),
                readTimeoutMillis(reader),
                repeatable,
                readIdempotencyKey(reader, repeatable),
                reader.readBoolean(CallerHeaders.END).orElse(false),
                "POST",
                MODEL_PATH,
                List.of(makeHeader("Content-Type", "application/json")),
                ByteString.copyFromUtf8(json.toString()),
                streamed,
                model,
                maxTokens);
    }

    /**
     * Creates a service call, whose method, path, headers and body are passed through.
     *
     * @throws ResultException if the service name or the headers are not valid
     */
    CallerRequest createServiceCall(
            String service,
            String method,
            String path,
            Map<String, List<String>> headers,
            byte[] body) {
        if (!NAME_PATTERN.matcher(service).matches()) {
            throw new ResultException(
                    ResultCode.UNKNOWN_SERVICE, "'" + service + "' is not a service name");
        }
        CallerHeaderReader reader = new CallerHeaderReader(headers);
        boolean repeatable =
                reader.readBoolean(CallerHeaders.REPEATABLE)
                        .orElse(REPEATABLE_METHODS.contains(method));
        return new CallerRequest(
                CallKind.CALL_KIND_SERVICE,
                readOrganisation(reader),
                reader.readMatching(CallerHeaders.PROGRAM_CLASS, NAME_PATTERN)
                        .orElse(DEFAULT_CLASS),
                readProgram(reader),
                0,
                Optional.empty(),
                readTimeoutMillis(reader),
                repeatable,
                readIdempotencyKey(reader, repeatable),
                false,
                method,
                path,
                selectTargetHeaders(headers),
                ByteString.copyFrom(body),
                false,
                service,
                0);
    }

    // Helpers

    private ObjectNode parse(byte[] body) {
        try {
            JsonNode node = mMapper.readTree(new String(body, StandardCharsets.UTF_8));
            if (node instanceof ObjectNode object) {
                return object;
            }
            throw new ResultException(
                    ResultCode.INVALID_JSON, "the request body is not a JSON object");
        } catch (JsonProcessingException e) {
            throw new ResultException(
                    ResultCode.INVALID_JSON,
                    "the request body is not valid JSON at line "
                            + (e.getLocation() == null ? 0 : e.getLocation().getLineNr())
                            + ", column "
                            + (e.getLocation() == null ? 0 : e.getLocation().getColumnNr()));
        }
    }

    private static String requireText(ObjectNode json, String field) {
        JsonNode node = json.path(field);
        if (!node.isTextual() || node.asText().isEmpty()) {
            throw new ResultException(
                    ResultCode.INVALID_REQUEST, "field '" + field + "' must be a non-empty string");
        }
        return node.asText();
    }

    /** Requires that a turn may be repeated, because a turn that was not committed is run again. */
    private static void requireRepeatableTurn(Optional<String> program, boolean repeatable) {
        if (program.isPresent() && !repeatable) {
            throw new ResultException(
                    ResultCode.INVALID_HEADER,
                    "header " + CallerHeaders.REPEATABLE + " must be true for a program's turn");
        }
    }

    private static void requireMessages(ObjectNode json) {
        JsonNode messages = json.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw new ResultException(
                    ResultCode.INVALID_REQUEST, "field 'messages' must be a non-empty array");
        }
        for (JsonNode message : messages) {
            if (!message.isObject() || !message.path("role").isTextual()) {
                throw new ResultException(
                        ResultCode.INVALID_REQUEST,
                        "each element of 'messages' must be an object with a 'role'");
            }
        }
    }

    private static boolean readOptionalBoolean(ObjectNode json, String field) {
        JsonNode node = json.path(field);
        if (!node.isMissingNode() && !node.isNull() && !node.isBoolean()) {
            throw new ResultException(
                    ResultCode.INVALID_REQUEST, "field '" + field + "' must be true or false");
        }
        return node.asBoolean(false);
    }

    private long readMaxTokens(ObjectNode json) {
        String field = json.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode node = json.path(field);
        if (node.isMissingNode() || node.isNull()) {
            return mDefaultMaxTokens;
        }
        // asLong() would wrap a number outside the range of long into the accepted range.
        boolean isLong = node.isIntegralNumber() && node.canConvertToLong();
        if (!isLong || node.asLong() < 1 || node.asLong() > MAX_TOKENS) {
            throw new ResultException(
                    ResultCode.INVALID_REQUEST,
                    "field '" + field + "' must be an integer from 1 to " + MAX_TOKENS);
        }
        return node.asLong();
    }

    /**
     * Adapts the body for the model engine. {@code max_tokens} is always set, because this number
     * of tokens is reserved from the budget before the call is run.
     */
    private static void prepareForEngine(
            ObjectNode json,
            CallerHeaderReader reader,
            Optional<String> program,
            boolean streamed,
            long maxTokens) {
        json.remove("max_completion_tokens");
        json.put("max_tokens", maxTokens);
        if (streamed) {
            json.putObject("stream_options").put("include_usage", true);
        }
        program.ifPresent(id -> json.put("cache_owner", readOrganisation(reader) + "/" + id));
    }

    private static String readOrganisation(CallerHeaderReader reader) {
        return reader.readMatching(CallerHeaders.ORGANISATION, NAME_PATTERN)
                .orElseThrow(
                        () ->
                                new ResultException(
                                        ResultCode.MISSING_HEADER,
                                        "header " + CallerHeaders.ORGANISATION + " is required"));
    }

    private static Optional<String> readProgram(CallerHeaderReader reader) {
        Optional<String> program = reader.readMatching(CallerHeaders.PROGRAM, PROGRAM_ID_PATTERN);
        Optional<String> parent = reader.readMatching(CallerHeaders.PARENT, PROGRAM_ID_PATTERN);
        if (parent.isPresent()
                && !program.map(id -> id.startsWith(parent.get() + "/")).orElse(false)) {
            throw new ResultException(
                    ResultCode.INVALID_PARENT,
                    "the id of a sub-agent must begin with its parent's id and a slash");
        }
        return program;
    }

    private static int readTurn(CallerHeaderReader reader, Optional<String> program) {
        Optional<Long> turn = reader.readNumber(CallerHeaders.TURN, 1, Integer.MAX_VALUE);
        if (program.isPresent() && turn.isEmpty()) {
            throw new ResultException(
                    ResultCode.MISSING_HEADER,
                    "header " + CallerHeaders.TURN + " is required with a program");
        }
        if (program.isEmpty() && turn.isPresent()) {
            throw new ResultException(
                    ResultCode.MISSING_HEADER,
                    "header " + CallerHeaders.PROGRAM + " is required with a turn");
        }
        return turn.map(Long::intValue).orElse(0);
    }

    private long readTimeoutMillis(CallerHeaderReader reader) {
        return reader.readNumber(CallerHeaders.DEADLINE_MILLIS, 1, MAX_TIMEOUT_MILLIS)
                .orElse(mDefaultTimeoutMillis);
    }

    private static Optional<String> readIdempotencyKey(
            CallerHeaderReader reader, boolean repeatable) {
        Optional<String> key =
                reader.readText(CallerHeaders.IDEMPOTENCY_KEY, MAX_IDEMPOTENCY_KEY_CHARS);
        if (!repeatable && key.isEmpty()) {
            throw new ResultException(
                    ResultCode.IDEMPOTENCY_KEY_REQUIRED,
                    "header " + CallerHeaders.IDEMPOTENCY_KEY + " is required for this call");
        }
        return key;
    }

    private static List<Header> selectTargetHeaders(Map<String, List<String>> headers) {
        List<Header> result = new ArrayList<>();
        headers.forEach(
                (name, values) -> {
                    if (!CallerHeaders.isWithheldFromTarget(name)) {
                        values.forEach(value -> result.add(makeHeader(name, value)));
                    }
                });
        return result;
    }

    private static Header makeHeader(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }
}
