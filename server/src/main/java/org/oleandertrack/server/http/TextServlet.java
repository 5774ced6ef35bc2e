package org.oleandertrack.server.http;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.function.Supplier;

/** Serves a status and a plain text, for example for liveness and readiness. Thread safe. */
public final class TextServlet extends HttpServlet {

    private static final long serialVersionUID = 1L;

    /**
     * The response to a request.
     *
     * @param status HTTP status
     * @param text the body, sent as UTF-8
     */
    public record TextResponse(int status, String text) {}

    private final transient Supplier<TextResponse> mResponse;

    /** Creates a servlet that gets its response from the supplier at each request. */
    public TextServlet(Supplier<TextResponse> response) {
        mResponse = response;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response)
            throws IOException {
        TextResponse content = mResponse.get();
        response.setStatus(content.status());
        response.setContentType("text/plain; charset=utf-8");
        response.getWriter().write(content.text());
    }
}
