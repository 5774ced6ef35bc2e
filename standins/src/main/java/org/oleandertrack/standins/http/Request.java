package org.oleandertrack.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A received request, and methods to respond to it. Used by the thread that handles it. */
public final class Request {

    private final HttpExchange mExchange;
    private final byte[] mBody;
    private final Map<String, String> mQueryParameters;

    Request(HttpExchange exchange) throws IOException {
        mExchange = exchange;
        mBody = exchange.getRequestBody().readAllBytes();
        mQueryParameters = parseQuery(exchange.getRequestURI().getRawQuery());
    }

    // Accessors

    public String method() {
        return mExchange.getRequestMethod();
    }

    public String path() {
        return mExchange.getRequestURI().getPath();
    }

    /** Returns the path and the query as the client sent them. */
    public String rawPathAndQuery() {
        String query = mExchange.getRequestURI().getRawQuery();
        String path = mExchange.getRequestURI().getRawPath();
        return query == null ? path : path + "?" + query;
    }

    /** Returns {@code METHOD /path}, by which handlers dispatch requests. */
    public String route() {
        return method() + " " + path();
    }

    public byte[] body() {
        return mBody;
    }

    public JsonNode json() throws IOException {
        return Json.parseObject(mBody);
    }

    public Optional<String> header(String name) {
        return Optional.ofNullable(mExchange.getRequestHeaders().getFirst(name));
    }

    public HttpExchange exchange() {
        return mExchange;
    }

    public Optional<String> queryParameter(String name) {
        return Optional.ofNullable(mQueryParameters.get(name));
    }

    /**
     * Returns the value of a query parameter.
     *
     * @throws BadRequestException if it is absent
     */
    public String requiredQueryParameter(String name) throws IOException {
        String value = mQueryParameters.get(name);
        if (value == null) {
            throw new BadRequestException("the query parameter \"" + name + "\" is missing");
        }
        return value;
    }

    /**
     * Returns a query parameter as a number, or the default if it is absent.
     *
     * @throws BadRequestException if it is not a number
     */
    public long numericQueryParameter(String name, long defaultValue) throws IOException {
        String value = mQueryParameters.get(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new BadRequestException(
                    "the query parameter \"" + name + "\" is not a number: " + value);
        }
    }

    // Operations

    /** Sends a JSON response. */
    public void sendJson(int status, JsonNode node) throws IOException {
        send(status, "application/json", Json.bytes(node));
    }

    /** Sends an error response whose body is {@code {"error":{"message":...}}}. */
    public void sendError(int status, String message) throws IOException {
        var node = Json.object();
        node.putObject("error").put("message", message);
        sendJson(status, node);
    }

    /** Sends a response with a complete body; an empty content type sends no such header. */
    public void send(int status, String contentType, byte[] body) throws IOException {
        if (!contentType.isEmpty()) {
            mExchange.getResponseHeaders().set("Content-Type", contentType);
        }
        boolean hasNoBody = body.length == 0 || method().equals("HEAD") || status == 204;
        mExchange.sendResponseHeaders(status, hasNoBody ? -1 : body.length);
        if (!hasNoBody) {
            try (OutputStream out = mExchange.getResponseBody()) {
                out.write(body);
            }
        }
        mExchange.close();
    }

    /** Starts a response of unknown length; the caller closes the returned stream. */
    public OutputStream startStream(int status, String contentType) throws IOException {
        mExchange.getResponseHeaders().set("Content-Type", contentType);
        mExchange.sendResponseHeaders(status, 0);
        return mExchange.getResponseBody();
    }

    // Helpers

    private static Map<String, String> parseQuery(String rawQuery) throws IOException {
        Map<String, String> result = new HashMap<>();
        if (rawQuery == null) {
            return result;
        }
        for (String pair : rawQuery.split("&", -1)) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                result.put(decode(pair.substring(0, equals)), decode(pair.substring(equals + 1)));
            }
        }
        return result;
    }

    private static String decode(String text) throws IOException {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new BadRequestException("the query is not URL-encoded: " + text);
        }
    }
}
