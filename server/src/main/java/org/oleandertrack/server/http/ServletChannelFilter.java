package org.oleandertrack.server.http;

import jakarta.servlet.Filter;
import jakarta.servlet.FilterChain;
import jakarta.servlet.ServletException;
import jakarta.servlet.ServletRequest;
import jakarta.servlet.ServletResponse;
import java.io.IOException;
import org.eclipse.jetty.ee10.servlet.ServletChannel;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/** Makes the {@link ServletChannel} of a request available as an attribute. Stateless. */
final class ServletChannelFilter implements Filter {

    /** Name of the attribute. */
    static final String ATTRIBUTE = ServletChannel.class.getName();

    @Override
    public void doFilter(ServletRequest request, ServletResponse response, FilterChain chain)
            throws IOException, ServletException {
        request.setAttribute(
                ATTRIBUTE,
                ServletContextRequest.getServletContextRequest(request).getServletChannel());
        chain.doFilter(request, response);
    }
}
