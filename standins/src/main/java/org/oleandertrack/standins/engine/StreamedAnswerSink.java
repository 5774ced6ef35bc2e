package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;

/** Sends an answer as server-sent events: one for each token, then one with the usage. */
final class StreamedAnswerSink implements TokenSink {

    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final Request mRequest;
    private final String mModel;
    private final Answer mAnswer;
    private OutputStream mOut = OutputStream.nullOutputStream();

    StreamedAnswerSink(Request request, String model, Answer answer) {
        mRequest = request;
        mModel = model;
        mAnswer = answer;
    }

    @Override
    public void onToken(int index, String text) throws IOException {
        if (index == 0) {
            mOut = mRequest.startStream(200, "text/event-stream");
        }
        ObjectNode node = CompletionJson.head(mAnswer, mModel, "chat.completion.chunk");
        ObjectNode choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (index == 0) {
            delta.put("role", "assistant");
        }
        delta.put("content", text);
        choice.putNull("finish_reason");
        mOut.write(event(node));
        mOut.flush();
    }

    @Override
    public void onEnd(Usage usage) throws IOException {
        ObjectNode node = CompletionJson.head(mAnswer, mModel, "chat.completion.chunk");
        ObjectNode choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta");
        choice.put("finish_reason", mAnswer.finishReason());
        node.set("usage", CompletionJson.usage(usage));
        mOut.write(event(node));
        mOut.write(DONE);
        mOut.close();
    }

    private static byte[] event(ObjectNode node) {
        String json = new String(Json.bytes(node), StandardCharsets.UTF_8);
        return ("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
