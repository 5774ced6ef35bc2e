package org.oleandertrack.server.http;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.ext.WriterInterceptor;
import jakarta.ws.rs.ext.WriterInterceptorContext;
import java.io.IOException;
import org.eclipse.jetty.ee10.servlet.ServletChannel;
import org.tinylog.Logger;

/**
 * Aborts the connection of a response that has begun and whose body cannot be written to its end.
 * Jersey would end the response as if it were complete. Thread safe.
 */
final class BrokenResponseInterceptor implements WriterInterceptor {

    // Proxies for the request and response that the thread handles.
    @Context private HttpServletRequest mRequest;
    @Context private HttpServletResponse mResponse;

    @Override
    public void aroundWriteTo(WriterInterceptorContext context) throws IOException {
        try {
            context.proceed();
        } catch (IOException | RuntimeException e) {
            if (mResponse.isCommitted()) {
                Logger.info("response broken off: path={} reason={}", mRequest.getPathInfo(), e);
                channel().abort(e);
            }
            throw e;
        }
    }

    // The injected request is a proxy, from which Jetty cannot find the channel itself.
    private ServletChannel channel() {
        return (ServletChannel) mRequest.getAttribute(ServletChannelFilter.ATTRIBUTE);
    }
}
