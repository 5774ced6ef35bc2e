package org.oleandertrack.server.http;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.function.Supplier;

/** Answers with a status and a text, for example for liveness and readiness. Thread safe. */
public final class TextServlet extends HttpServlet {

    private static final long serialVersionUID = 1L;

    /**
     * What to answer.
     *
     * @param status HTTP status
     * @param text body in UTF-8
     */
    public record Answer(int status, String text) {}

    private final transient Supplier<Answer> mAnswer;

    /** Creates a servlet that asks for its answer at each request. */
    public TextServlet(Supplier<Answer> answer) {
        mAnswer = answer;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response)
            throws IOException {
        Answer answer = mAnswer.get();
        response.setStatus(answer.status());
        response.setContentType("text/plain; charset=utf-8");
        response.getWriter().write(answer.text());
    }
}
