package org.oleandertrack.server.entry;

import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import java.io.InputStream;

/** HTTP resource for model calls. Thread safe. */
@Path("/")
public final class ModelResource {

    private final CallerRequestFactory mRequests;
    private final RequestBodyReader mBodies;
    private final CallResponder mResponder;

    ModelResource(
            CallerRequestFactory requests, RequestBodyReader bodies, CallResponder responder) {
        mRequests = requests;
        mBodies = bodies;
        mResponder = responder;
    }

    /** Runs a chat completion. */
    @POST
    @Path("v1/chat/completions")
    public Response chatCompletion(@Context HttpHeaders headers, InputStream input) {
        byte[] body = mBodies.read(input);
        return mResponder.respond(mRequests.createModelCall(headers.getRequestHeaders(), body));
    }
}
