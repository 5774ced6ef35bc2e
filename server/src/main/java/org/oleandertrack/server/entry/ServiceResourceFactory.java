package org.oleandertrack.server.entry;

import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.UriInfo;
import java.util.List;
import org.glassfish.jersey.process.Inflector;
import org.glassfish.jersey.server.model.Resource;

/** Creates the HTTP resource for service calls, which accepts any path and the usual methods. */
final class ServiceResourceFactory {

    private static final List<String> HTTP_METHODS =
            List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    private static final String SERVICES_PREFIX = "/services/";
    private static final String SERVICE_PARAMETER = "service";

    private final CallerRequestFactory mRequests;
    private final RequestBodyReader mBodies;
    private final CallResponder mResponder;

    ServiceResourceFactory(
            CallerRequestFactory requests, RequestBodyReader bodies, CallResponder responder) {
        mRequests = requests;
        mBodies = bodies;
        mResponder = responder;
    }

    Resource create() {
        Resource.Builder builder =
                Resource.builder("services/{" + SERVICE_PARAMETER + "}{path: (/.*)?}");
        for (String method : HTTP_METHODS) {
            builder.addMethod(method)
                    .consumes(MediaType.WILDCARD_TYPE)
                    .produces(MediaType.WILDCARD_TYPE)
                    .handledBy(new PassThroughInflector());
        }
        return builder.build();
    }

    /** A class instead of a lambda, because Jersey reads the type parameters by reflection. */
    private final class PassThroughInflector
            implements Inflector<ContainerRequestContext, Response> {

        @Override
        public Response apply(ContainerRequestContext context) {
            return passThrough(context);
        }
    }

    private Response passThrough(ContainerRequestContext context) {
        byte[] body = mBodies.read(context.getEntityStream());
        String service = context.getUriInfo().getPathParameters().getFirst(SERVICE_PARAMETER);
        return mResponder.respond(
                mRequests.createServiceCall(
                        service,
                        context.getMethod(),
                        targetPath(service, context.getUriInfo()),
                        context.getHeaders(),
                        body));
    }

    /** Returns path and query for the target, as the caller encoded them. */
    private static String targetPath(String service, UriInfo uri) {
        String rawPath = uri.getRequestUri().getRawPath();
        String path =
                rawPath.substring(rawPath.indexOf(SERVICES_PREFIX) + SERVICES_PREFIX.length());
        String rest = path.substring(Math.min(path.length(), service.length()));
        String query = uri.getRequestUri().getRawQuery();
        return (rest.isEmpty() ? "/" : rest) + (query == null ? "" : "?" + query);
    }
}
