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
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.attempt.ForwardedPart;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.gateway.targets.PlacedTarget;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.http.OutboundConnection;
import org.oleandertrack.http.OutboundExchange;
import org.oleandertrack.http.OutboundFailure;

/**
 * One send of a call's request to a target. A small response is buffered and forwarded when it is
 * complete, so that the request can be sent again if the response fails midway. Events of a stream
 * are forwarded as they arrive. Confined to the call's event loop.
 */
final class Attempt implements OutboundExchange {

    // Responses up to this size are buffered until they are complete.
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;
    // A refusal whose body is longer counts without its end, and its connection is closed.
    private static final int MAX_REFUSAL_BYTES = 16 * 1024;
    // A stream counts as beginning for this time after its first event.
    private static final long BEGINNING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final String EVENT_STREAM = "text/event-stream";

    /** How the body of a response is handled. */
    private enum BodyMode {
        /** The response refuses the request; its body is dropped. */
        REFUSAL,
        /** The body is buffered and forwarded when it is complete. */
        BUFFER,
        /**
         * The body exceeds the buffer limit, or the memory is used up; it is forwarded as it
         * arrives.
         */
        FORWARD,
        /** The body is a stream; each complete event is forwarded. */
        EVENTS
    }

    private final Call mCall;
    private final CallDispatcher mDispatcher;
    private final TargetHandle mHandle;
    private final EventLoop mLoop;
    private final OutboundConnection mConnection;
    private final EventSplitter mSplitter = new EventSplitter(Unpooled.buffer(0));
    private final PartBuffer mOutput;
    private final ResponseMemory.Share mMemory;
    private HttpResponse mHead;
    private BodyMode mBodyMode = BodyMode.BUFFER;
    private final ByteBuf mBody = Unpooled.buffer(0);
    private boolean mRemovedFromLoad;
    private boolean mRefusalHasId;
    private int mRefusalBytes;
    private long mSentNanos;
    private long mLastActivityNanos;
    private final AttemptTimes mTimes;
    private final OptionalDouble mPredictedMillis;

    /**
     * Creates an attempt whose request is sent with {@link #send}.
     *
     * @param wholeTurn whether the request is a turn that begins at its first event
     */
    Attempt(Call call, CallDispatcher dispatcher, PlacedTarget placed, boolean wholeTurn) {
        mCall = call;
        mDispatcher = dispatcher;
        mHandle = placed.handle();
        long nowNanos = System.nanoTime();
        mTimes =
                new AttemptTimes(
                        call.context().targets(),
                        placed,
                        call.route().name(),
                        wholeTurn && !call.progress().isStarted(),
                        nowNanos);
        mPredictedMillis = mTimes.predictedMillis();
        call.log().recordPrediction(mPredictedMillis, nowNanos);
        mLoop = call.writer().eventLoop();
        mOutput = new PartBuffer(call.writer());
        mMemory = call.context().responseMemory().share();
        mConnection = mHandle.connections().acquire(mLoop, call.route().isRepeatable());
    }

    // Accessors

    TargetHandle handle() {
        return mHandle;
    }

    /** Returns the predicted time to the end of the response, in milliseconds, if there is one. */
    OptionalDouble predictedMillis() {
        return mPredictedMillis;
    }

    long sentNanos() {
        return mSentNanos;
    }

    /**
     * Returns the time since the target last showed that it runs the request, or since the send.
     */
    long silentMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - mLastActivityNanos);
    }

    /** Returns whether the target has sent data for the request. */
    boolean hasData() {
        return mLastActivityNanos != mSentNanos;
    }

    /** Returns whether the target may have just begun to run the request at the given time. */
    boolean isBeginning(long nowNanos) {
        OptionalLong firstEventNanos = mTimes.firstEventNanos();
        return firstEventNanos.isEmpty()
                || nowNanos - firstEventNanos.getAsLong() < BEGINNING_NANOS;
    }

    // Operations

    void send(HttpRequest head, ByteBuf body) {
        mSentNanos = System.nanoTime();
        mLastActivityNanos = mSentNanos;
        mConnection.send(head, body, this);
        // The caller may not have read what was written before, and the connection may have served
        // another caller.
        setReading(mCall.writer().isWritable());
    }

    /** Cancels the attempt by closing the connection to the target. */
    void cancel() {
        mConnection.cancel(this);
        mCall.context().targets().recordAbandoned(mHandle);
        removeFromLoad();
    }

    /**
     * Removes the request from the load counted for the target, and releases the memory of its
     * response. Has an effect only once.
     */
    void removeFromLoad() {
        if (!mRemovedFromLoad) {
            mRemovedFromLoad = true;
            mMemory.release();
            mCall.context().targets().recordEnd(mHandle);
        }
    }

    void setReading(boolean reading) {
        mConnection.setReading(this, reading);
        if (!reading) {
            mTimes.recordPause();
        }
        releaseForwarded();
    }

    @Override
    public boolean onHead(HttpResponse head) {
        ResponseMetadata metadata = mCall.context().headerCodec().decodeResponse(head.headers());
        boolean otherIncarnation =
                head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
        boolean refused = metadata.notExecuted() || otherIncarnation;
        // A refusal may omit the request id, unless it could refuse an earlier request on the
        // connection; any other response must state it.
        boolean belongsToRequest =
                metadata.requestId()
                        .map(id -> id.equals(mCall.requestId()))
                        .orElse(refused && !mConnection.isReused());
        int status = head.status().code();
        if (!belongsToRequest) {
            mCall.log().responseSkipped(mHandle, status, metadata.requestId());
            if (metadata.requestId().isEmpty()) {
                // It may be the response to this request, so none behind it may take its place.
                mConnection.close();
                onFailure(OutboundFailure.MALFORMED);
            }
            return false;
        }
        mCall.log().targetAnswered(mHandle, status, mCall.progress());
        metadata.load()
                .ifPresent(
                        load -> {
                            mTimes.recordLoad(load);
                            mCall.context().targets().recordLoad(mHandle, load, System.nanoTime());
                        });
        mCall.context()
                .targets()
                .recordRateLimit(mHandle, metadata.requestsPerSecond(), System.nanoTime());
        // A response of another incarnation says nothing about the one that was meant.
        if (metadata.leaving() && !otherIncarnation) {
            mCall.context().targetDirectory().markLeaving(mHandle.record());
        }
        mHead = head;
        mRefusalHasId = metadata.requestId().isPresent();
        mBodyMode = refused ? BodyMode.REFUSAL : bodyModeOf(head);
        if (mBodyMode == BodyMode.BUFFER && !mDispatcher.onAnswer(this, status)) {
            mConnection.close();
        }
        return true;
    }

    @Override
    public void onContent(ByteBuf part) {
        switch (mBodyMode) {
            case REFUSAL -> skipRefusalBody(part);
            case BUFFER -> {
                mLastActivityNanos = System.nanoTime();
                bufferOrForward(part);
            }
            case FORWARD -> {
                mLastActivityNanos = System.nanoTime();
                mOutput.add(part);
            }
            case EVENTS -> {
                mSplitter.add(part);
                forwardEvents();
                if (mSplitter.isWithoutEvents() || !hold(mSplitter.partialEventBytes())) {
                    mConnection.close();
                    onFailure(OutboundFailure.MALFORMED);
                }
            }
        }
    }

    @Override
    public void onReadComplete() {
        mOutput.flush();
        releaseForwarded();
    }

    @Override
    public void onEnd() {
        mOutput.flush();
        int status = mHead.status().code();
        // A late copy of a refusal without an id could not be told from the refusal of a later
        // request, which may run.
        if (mBodyMode == BodyMode.REFUSAL && !mRefusalHasId) {
            mConnection.close();
        }
        mHandle.connections().release(mLoop, mConnection);
        switch (mBodyMode) {
            case REFUSAL -> {
                mDispatcher.onRefused(this, status);
                return;
            }
            case BUFFER -> {
                mTimes.recordResponseEnd(mHead.status(), System.nanoTime());
                respondBuffered();
            }
            case FORWARD -> {
                mTimes.recordResponseEnd(mHead.status(), System.nanoTime());
                mCall.writer().end();
            }
            case EVENTS -> {
                if (mSplitter.hasPartialEvent()) {
                    mConnection.close();
                    mDispatcher.onFailed(this, OutboundFailure.MALFORMED);
                    return;
                }
                mDispatcher.onResponseBegun(this, true);
                startEvents();
                mTimes.recordStreamEnd(true, System.nanoTime());
                mDispatcher.onStreamComplete(this, status);
                return;
            }
        }
        mDispatcher.onResponseForwarded(this, status);
    }

    @Override
    public void onFailure(OutboundFailure failure) {
        mOutput.flush();
        mTimes.recordStreamEnd(false, System.nanoTime());
        mDispatcher.onFailed(this, failure);
    }

    // Helpers

    private BodyMode bodyModeOf(HttpResponse head) {
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        boolean events =
                mCall.route().kind() == RequestKind.STREAMING
                        && head.status().code() == HttpResponseStatus.OK.code()
                        && type.startsWith(EVENT_STREAM);
        return events ? BodyMode.EVENTS : BodyMode.BUFFER;
    }

    private boolean hold(int heldBytes) {
        boolean hasRoom = mMemory.resize(heldBytes);
        if (!hasRoom) {
            mCall.log().responseMemoryUsedUp(mHandle);
        }
        return hasRoom;
    }

    // What was buffered first is held by the caller's connection until that has sent it.
    private void releaseForwarded() {
        if (mBodyMode == BodyMode.FORWARD && mCall.writer().isWritable()) {
            mMemory.release();
        }
    }

    private void skipRefusalBody(ByteBuf part) {
        mRefusalBytes += part.readableBytes();
        if (mRefusalBytes > MAX_REFUSAL_BYTES) {
            mConnection.close();
            mDispatcher.onRefused(this, mHead.status().code());
        }
    }

    private void bufferOrForward(ByteBuf part) {
        int heldBytes = mBody.readableBytes() + part.readableBytes();
        if (heldBytes <= MAX_BUFFERED_BYTES && hold(heldBytes)) {
            mBody.writeBytes(part);
            return;
        }
        mBodyMode = BodyMode.FORWARD;
        mCall.progress().markStarted(ForwardedPart.PART_OF_BODY);
        mCall.log().recordForwardedHead(mHandle, mHead.status().code());
        mCall.writer().start(streamHead());
        mOutput.add(mBody);
        mBody.release();
        mOutput.add(part);
    }

    private void respondBuffered() {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, mHead.status(), mBody);
        ForwardedHeaders.copy(mHead.headers(), response.headers());
        Optional<String> statedLength =
                Optional.ofNullable(mHead.headers().get(HttpHeaderNames.CONTENT_LENGTH));
        if (mCall.method().equals(HttpMethod.HEAD) && statedLength.isPresent()) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, statedLength.get());
        } else {
            HttpUtil.setContentLength(response, mBody.readableBytes());
        }
        mCall.log().recordForwardedHead(mHandle, mHead.status().code());
        mCall.writer().respond(response);
    }

    private HttpResponse streamHead() {
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, mHead.status());
        ForwardedHeaders.copy(mHead.headers(), head.headers());
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return head;
    }

    private void startEvents() {
        if (!mCall.progress().isStarted()) {
            mCall.progress().markStarted(ForwardedPart.EVENTS);
            mCall.log().recordForwardedHead(mHandle, mHead.status().code());
            mCall.writer().start(streamHead());
        }
    }

    private void forwardEvents() {
        for (Optional<EventSplitter.Event> event = mSplitter.next();
                event.isPresent();
                event = mSplitter.next()) {
            forward(event.get());
        }
    }

    private void forward(EventSplitter.Event event) {
        mLastActivityNanos = System.nanoTime();
        if (event.isComment()) {
            // A comment must not commit the response to this attempt.
            if (mCall.progress().isStarted()) {
                mOutput.add(event.bytes());
            }
            return;
        }
        mTimes.recordEvent(mLastActivityNanos);
        if (mDispatcher.recordEvent(event, this)) {
            startEvents();
            mOutput.add(event.bytes());
        }
    }
}
