package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.http.OutboundConnection;
import org.oleandertrack.http.OutboundExchange;
import org.oleandertrack.http.OutboundFailure;

/**
 * One send of a call to a target. Small answers are gathered and passed on whole, so that one that
 * breaks off can be replaced; events of a stream are passed on as they arrive. Confined to the
 * call's event loop.
 */
final class Attempt implements OutboundExchange {

    // Answers up to this size are passed on whole.
    private static final int MAX_GATHERED_BYTES = 256 * 1024;
    private static final String EVENT_STREAM = "text/event-stream";

    /** What is done with the body of an answer. */
    private enum Mode {
        /** It tells that the request was refused, and is dropped. */
        REFUSAL,
        /** It is gathered. */
        GATHER,
        /** It was too large to gather and is passed on as it comes. */
        PASS,
        /** It is passed on event by event. */
        EVENTS
    }

    private final Call mCall;
    private final TargetHandle mHandle;
    private final EventLoop mLoop;
    private final OutboundConnection mConnection;
    private final EventSplitter mSplitter = new EventSplitter();
    private HttpResponse mHead;
    private Mode mMode = Mode.GATHER;
    private final ByteBuf mBody = Unpooled.buffer(0);
    private boolean mReleased;

    Attempt(Call call, TargetHandle handle) {
        mCall = call;
        mHandle = handle;
        mLoop = call.writer().eventLoop();
        mConnection = handle.connections().take(mLoop, call.route().isRepeatable());
    }

    // Accessors

    TargetHandle handle() {
        return mHandle;
    }

    // Operations

    void send(HttpRequest head, ByteBuf body) {
        mConnection.send(head, body, this);
    }

    /** Breaks the attempt off; the target sees its connection close. */
    void cancel() {
        mConnection.close();
        mCall.context().targets().abandoned(mHandle);
        released();
    }

    /** Counts the request as no longer under way at the target. */
    void released() {
        if (!mReleased) {
            mReleased = true;
            mCall.context().targets().ended(mHandle);
        }
    }

    void setReading(boolean reading) {
        mConnection.setReading(reading);
    }

    @Override
    public boolean onHead(HttpResponse head) {
        AnswerFacts facts = mCall.context().dialect().readAnswer(head.headers());
        boolean refused =
                facts.notExecuted()
                        || head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
        boolean matches = facts.requestId().map(id -> id.equals(mCall.requestId())).orElse(refused);
        if (!matches) {
            return false;
        }
        facts.load()
                .ifPresent(
                        load ->
                                mCall.context()
                                        .targets()
                                        .reported(mHandle, load, System.nanoTime()));
        mHead = head;
        mMode = refused ? Mode.REFUSAL : modeOf(head);
        return true;
    }

    @Override
    public void onContent(ByteBuf part) {
        switch (mMode) {
            case REFUSAL -> {
                return;
            }
            case GATHER -> gather(part);
            case PASS -> mCall.writer().write(part.retainedDuplicate());
            case EVENTS -> {
                mSplitter.add(part);
                passEvents();
            }
        }
    }

    @Override
    public void onEnd() {
        mHandle.connections().giveBack(mLoop, mConnection);
        int status = mHead.status().code();
        switch (mMode) {
            case REFUSAL -> {
                mCall.refused(this, status);
                return;
            }
            case GATHER -> respondWhole();
            case PASS -> mCall.writer().end();
            case EVENTS -> {
                if (mSplitter.hasPartialEvent()) {
                    mConnection.close();
                    mCall.failed(this, OutboundFailure.MALFORMED);
                    return;
                }
                startEvents();
                mCall.writer().end();
            }
        }
        mCall.answered(this, status);
    }

    @Override
    public void onFailure(OutboundFailure failure) {
        mCall.failed(this, failure);
    }

    // Helpers

    private Mode modeOf(HttpResponse head) {
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        boolean events =
                mCall.route().kind() == RequestKind.STREAMING
                        && head.status().code() == HttpResponseStatus.OK.code()
                        && type.startsWith(EVENT_STREAM);
        return events ? Mode.EVENTS : Mode.GATHER;
    }

    private void gather(ByteBuf part) {
        if (mBody.readableBytes() + part.readableBytes() <= MAX_GATHERED_BYTES) {
            mBody.writeBytes(part);
            return;
        }
        mMode = Mode.PASS;
        mCall.progress().started();
        mCall.writer().start(streamHead());
        mCall.writer().write(mBody);
        mCall.writer().write(part.retainedDuplicate());
    }

    private void respondWhole() {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, mHead.status(), mBody);
        HopHeaders.copy(mHead.headers(), response.headers());
        Optional<String> statedLength =
                Optional.ofNullable(mHead.headers().get(HttpHeaderNames.CONTENT_LENGTH));
        if (mCall.method().equals(HttpMethod.HEAD) && statedLength.isPresent()) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, statedLength.get());
        } else {
            HttpUtil.setContentLength(response, mBody.readableBytes());
        }
        mCall.writer().respond(response);
    }

    private HttpResponse streamHead() {
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, mHead.status());
        HopHeaders.copy(mHead.headers(), head.headers());
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return head;
    }

    private void startEvents() {
        if (!mCall.progress().isStarted()) {
            mCall.progress().started();
            mCall.writer().start(streamHead());
        }
    }

    private void passEvents() {
        Optional<EventSplitter.Event> event = mSplitter.next();
        while (event.isPresent()) {
            startEvents();
            mCall.progress().eventSent(event.get().id(), System.nanoTime());
            mCall.writer().write(event.get().bytes());
            event = mSplitter.next();
        }
    }
}
