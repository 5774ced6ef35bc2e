package org.oleandertrack.gateway.call;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.oleandertrack.core.result.ResultException;

/** Encodes a refused or failed call as JSON. */
public final class ErrorBody {

    /** Response header that holds the number of the result code. */
    public static final String RESULT_CODE_HEADER = "Oleandertrack-Result-Code";

    /** Response header that states whether the request was executed. */
    public static final String EXECUTION_HEADER = "Oleandertrack-Execution";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ErrorBody() {}

    /** Returns the body of the response to a refused or failed call. */
    public static byte[] asJson(ResultException failure) {
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("code", failure.code().number());
        error.put("name", failure.code().name());
        error.put("message", failure.getMessage());
        error.put("execution", failure.execution().text());
        error.put("retry", failure.code().retryAdvice().text());
        failure.retryAfterMillis().ifPresent(millis -> error.put("retryAfterMs", millis));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the server-sent event that reports a failure in a stream that has already started.
     */
    public static byte[] asEvent(ResultException failure) {
        String json = new String(asJson(failure), StandardCharsets.UTF_8);
        return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
