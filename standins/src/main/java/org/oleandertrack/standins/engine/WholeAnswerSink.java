package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;

/** Collects an answer and sends it as one JSON response. */
final class WholeAnswerSink implements TokenSink {

    private final Request mRequest;
    private final String mModel;
    private final Answer mAnswer;
    private final StringBuilder mText = new StringBuilder();

    WholeAnswerSink(Request request, String model, Answer answer) {
        mRequest = request;
        mModel = model;
        mAnswer = answer;
    }

    @Override
    public void onToken(int index, String text) {
        mText.append(text);
    }

    @Override
    public void onEnd(Usage usage) throws IOException {
        ObjectNode node = CompletionJson.head(mAnswer, mModel, "chat.completion");
        ObjectNode choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", mText.toString());
        choice.put("finish_reason", mAnswer.finishReason());
        node.set("usage", CompletionJson.usage(usage));
        mRequest.send(200, "application/json", Json.bytes(node));
    }
}
