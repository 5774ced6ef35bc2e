package org.oleandertrack.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import java.io.IOException;
import java.io.InputStream;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** HTTP resource for operators' statements. Thread safe. */
@Path("/ctl")
public final class StatementResource {

    private final StatementService mStatements;
    private final RequestBodyReader mBodies;
    private final ObjectMapper mMapper;

    StatementResource(StatementService statements, RequestBodyReader bodies, ObjectMapper mapper) {
        mStatements = statements;
        mBodies = bodies;
        mMapper = mapper;
    }

    /** Runs the statement in field {@code command} of a JSON object, for its {@code operator}. */
    @POST
    @Consumes(MediaType.WILDCARD)
    @Produces(MediaType.APPLICATION_JSON)
    public byte[] run(InputStream input) {
        JsonNode request = parse(mBodies.read(input));
        return mStatements
                .run(requireText(request, "command"), requireText(request, "operator"))
                .toJson();
    }

    private JsonNode parse(byte[] body) {
        try {
            return mMapper.readTree(body);
        } catch (IOException e) {
            throw new ResultException(ResultCode.INVALID_JSON, "the request is not valid JSON");
        }
    }

    private static String requireText(JsonNode request, String field) {
        if (!request.path(field).isTextual() || request.path(field).asText().isBlank()) {
            throw new ResultException(
                    ResultCode.INVALID_REQUEST, "field '" + field + "' must be a non-empty string");
        }
        return request.path(field).asText();
    }
}
