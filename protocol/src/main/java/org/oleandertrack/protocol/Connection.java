package org.oleandertrack.protocol;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Heartbeat;
import org.oleandertrack.protocol.message.Hello;
import org.oleandertrack.protocol.message.Reject;
import org.oleandertrack.protocol.message.Role;
import org.tinylog.Logger;

/**
 * What both ends of a connection share: handshake, heartbeats, limits and closing. Methods run on
 * the I/O thread unless they say otherwise.
 */
abstract class Connection extends SimpleChannelInboundHandler<Frame> {

    /** Room in a frame for everything but the data of a body part. */
    private static final int BODY_FRAME_OVERHEAD_BYTES = 64;

    /** Largest part of a body per frame; longer bodies leave room for other frames in between. */
    private static final int MAX_PART_BYTES = 64 << 10;

    /** Below this a frame could not hold a useful call head. */
    private static final int MIN_FRAME_BYTES = 1 << 10;

    /**
     * Time for which the peer's bytes are still read and dropped after the last frame to it.
     * Closing with unread bytes would reset the connection, and the peer might not get that frame.
     */
    private static final int LINGER_MILLIS = 1_000;

    /** Idle checks per idle timeout. */
    private static final int IDLE_CHECKS = 4;

    private final ConnectionContext mContext;
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();
    private Channel mChannel;
    private Outbox mOutbox;
    private volatile Hello mPeer;
    private volatile boolean mClosing;
    private int mMaxPartBytes;
    private int mSilentChecks;
    private int mStalledChecks;
    private long mWrittenFramesSeen;

    Connection(ConnectionContext context) {
        mContext = context;
    }

    // Differences between the two ends.

    /** Called once the channel is open. */
    abstract void onOpen();

    /** Called when the peer's Hello has been accepted. */
    abstract void onHandshake(Hello peer);

    /** Handles a heartbeat, before the control handler sees it. */
    abstract void onHeartbeat(Heartbeat heartbeat);

    /** Handles a frame of a call. */
    abstract void onCallFrame(Frame frame);

    /** Called once, when the connection has ended or is about to be closed. */
    abstract void onLost(ResultException reason);

    // Life-cycle.

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mChannel = ctx.channel();
        mOutbox = new Outbox(mChannel, limits().maxUnsentBytes());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        schedule(this::checkHandshake, limits().handshakeTimeoutMillis());
        onOpen();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (mPeer == null) {
            String message = "the connection was closed during the handshake";
            lose(new ResultException(ResultCode.TARGET_UNREACHABLE, message));
        } else {
            lose(new ResultException(ResultCode.ATTEMPT_LOST, "the connection was closed"));
        }
        mClosed.complete(null);
    }

    /** Completes when the channel is closed. Thread safe. */
    public CompletableFuture<Void> closed() {
        return mClosed;
    }

    /** Closes the channel. Thread safe. */
    public void close() {
        var _ = mChannel.close();
    }

    // Accessors.

    /** Returns the peer's Hello, null before the handshake. Thread safe. */
    final Hello peerHello() {
        return mPeer;
    }

    final ConnectionContext context() {
        return mContext;
    }

    final ProtocolLimits limits() {
        return mContext.limits();
    }

    final Outbox outbox() {
        return mOutbox;
    }

    /** Returns true from the moment on at which no frame is accepted any more. Thread safe. */
    final boolean isClosing() {
        return mClosing;
    }

    /** Returns the most data bytes that one frame to this peer carries. */
    final int maxPartBytes() {
        return mMaxPartBytes;
    }

    /** Returns true if the peer accepts a frame of this size. */
    final boolean fits(Frame frame) {
        return Integer.compareUnsigned(frame.getSerializedSize(), mPeer.getMaxFrameBytes()) <= 0;
    }

    // Sending.

    /**
     * Sends a control frame. Thread safe.
     *
     * @throws IllegalArgumentException if the frame belongs to a call or to the handshake
     * @throws ResultException with FRAME_TOO_LARGE if the peer does not accept frames of this size
     */
    final void sendControl(Frame frame) {
        if (!isControl(frame)) {
            throw new IllegalArgumentException(frame.getPayloadCase() + " is no control frame");
        }
        if (!fits(frame)) {
            throw new ResultException(
                    ResultCode.FRAME_TOO_LARGE,
                    "a control frame of "
                            + frame.getSerializedSize()
                            + " bytes exceeds the peer's limit of "
                            + mPeer.getMaxFrameBytes());
        }
        submitFrame(frame);
    }

    /** Queues a frame, closing the connection if too much is unsent. Thread safe. */
    final void submitFrame(Frame frame) {
        long bytes = frame.getSerializedSize();
        if (reserveOrClose(bytes)) {
            mOutbox.submit(() -> writeReserved(frame, bytes));
        }
    }

    /** Writes a frame behind those written so far. */
    final void writeFrame(Frame frame) {
        long bytes = frame.getSerializedSize();
        if (reserveOrClose(bytes)) {
            writeReserved(frame, bytes);
        }
    }

    /** Reserves bytes to send; if too much is unsent, closes the connection. Thread safe. */
    final boolean reserveOrClose(long bytes) {
        if (mClosing) {
            return false;
        }
        if (mOutbox.reserve(bytes)) {
            return true;
        }
        mOutbox.submit(() -> reject(ResultCode.PEER_NOT_READING, unsentMessage()));
        return false;
    }

    private void writeReserved(Frame frame, long bytes) {
        if (mClosing) {
            mOutbox.release(bytes);
            return;
        }
        var _ = mOutbox.write(frame, bytes);
    }

    final void sendHello() {
        NodeStatus status = mContext.status().get();
        LocalNode node = mContext.node();
        Hello.Builder hello =
                Hello.newBuilder()
                        .setMajorVersion(ProtocolVersion.MAJOR)
                        .setMinorVersion(ProtocolVersion.MINOR)
                        .setNode(node.node())
                        .setRole(node.role())
                        .setIncarnation(node.incarnation())
                        .setZone(node.zone())
                        .setTarget(node.target())
                        .setMaxFrameBytes(limits().maxFrameBytes())
                        .setResponseWindowBytes(limits().responseWindowBytes())
                        .setConfigVersion(status.configVersion())
                        .setClockNanos(helloClockNanos());
        writeFrame(Frame.newBuilder().setHello(hello).build());
        mOutbox.pump();
    }

    /** Returns the stamp for the Hello. */
    long helloClockNanos() {
        return mContext.nanoClock().getAsLong();
    }

    /** Sends a heartbeat with this process's status. */
    final void sendHeartbeat(long clockNanos, long echoClockNanos) {
        NodeStatus status = mContext.status().get();
        Heartbeat.Builder heartbeat =
                Heartbeat.newBuilder()
                        .setSenderClockNanos(clockNanos)
                        .setEchoClockNanos(echoClockNanos)
                        .setLoad(status.load())
                        .setConfigVersion(status.configVersion())
                        .setConfigConfirmedAgeMillis(status.configConfirmedAgeMillis())
                        .setLeaving(status.leaving());
        writeFrame(Frame.newBuilder().setHeartbeat(heartbeat).build());
        mOutbox.pump();
    }

    // Receiving.

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        mSilentChecks = 0;
        if (mClosing) {
            return;
        }
        try {
            if (mPeer == null) {
                readHandshake(frame);
            } else {
                read(frame);
            }
        } catch (ResultException e) {
            reject(e.code(), e.getMessage());
        }
    }

    private void readHandshake(Frame frame) {
        switch (frame.getPayloadCase()) {
            case HELLO -> {
                Hello hello = frame.getHello();
                checkHello(hello);
                int maxDataBytes =
                        (int) Math.min(Integer.toUnsignedLong(hello.getMaxFrameBytes()), 1 << 30)
                                - BODY_FRAME_OVERHEAD_BYTES;
                mMaxPartBytes = Math.min(maxDataBytes, MAX_PART_BYTES);
                mPeer = hello;
                schedule(this::checkIdle, idleCheckMillis());
                onHandshake(hello);
            }
            case REJECT -> onReject(frame.getReject());
            default ->
                    throw malformed("the first frame is " + frame.getPayloadCase() + ", not HELLO");
        }
    }

    private static void checkHello(Hello hello) {
        if (hello.getMajorVersion() != ProtocolVersion.MAJOR) {
            throw new ResultException(
                    ResultCode.UNSUPPORTED_VERSION,
                    "the peer speaks major version "
                            + Integer.toUnsignedString(hello.getMajorVersion())
                            + ", this process speaks "
                            + ProtocolVersion.MAJOR);
        }
        if (hello.getRole() == Role.ROLE_UNSPECIFIED || hello.getRole() == Role.UNRECOGNIZED) {
            throw malformed("Hello has no known role");
        }
        if (hello.getIncarnation() == 0) {
            throw malformed("Hello has no incarnation");
        }
        if (Integer.compareUnsigned(hello.getMaxFrameBytes(), MIN_FRAME_BYTES) < 0) {
            throw malformed("Hello accepts only frames under " + MIN_FRAME_BYTES + " bytes");
        }
        if (hello.getResponseWindowBytes() <= 0) {
            throw malformed("Hello has no usable response window");
        }
    }

    private void read(Frame frame) {
        switch (frame.getPayloadCase()) {
            case HELLO -> throw malformed("a second Hello");
            case REJECT -> onReject(frame.getReject());
            case CALL, CALL_BODY, CREDIT, CANCEL, RESPONSE_HEAD, RESPONSE_BODY, RESPONSE_END ->
                    onCallFrame(frame);
            case HEARTBEAT -> {
                onHeartbeat(frame.getHeartbeat());
                onControl(frame);
            }
            default -> {
                // Without a known payload: a later minor version may add frames, and those are
                // ignored.
                if (isControl(frame)) {
                    onControl(frame);
                } else if (frame.getUnknownFields().asMap().isEmpty()) {
                    throw malformed("an empty frame");
                }
            }
        }
    }

    private static boolean isControl(Frame frame) {
        return switch (frame.getPayloadCase()) {
            case HEARTBEAT,
                    CONFIG_PUSH,
                    CONFIG_REQUEST,
                    LEAVING,
                    RELEASE_MEMORY,
                    ATTEMPT_QUERY,
                    ATTEMPT_STATUS ->
                    true;
            default -> false;
        };
    }

    private void onControl(Frame frame) {
        try {
            mContext.controlHandler().onControl(mPeer, frame, this::sendControl);
        } catch (RuntimeException e) {
            Logger.error(e, "the control handler failed on {}", frame.getPayloadCase());
        }
    }

    private void onReject(Reject reject) {
        ResultCode code =
                ResultCode.fromNumber(reject.getCode()).orElse(ResultCode.MALFORMED_FRAME);
        Logger.warn("{} rejected the connection: {} {}", this, code, reject.getMessage());
        lose(new ResultException(code, "the peer rejected the connection: " + reject.getMessage()));
        close();
    }

    // Closing.

    /** Returns the failure for a frame that does not fit the state of the connection. */
    static ResultException malformed(String message) {
        return new ResultException(ResultCode.MALFORMED_FRAME, message);
    }

    /** Tells the peer why the connection ends, then closes it. */
    final void reject(ResultCode code, String message) {
        if (mClosing) {
            return;
        }
        Logger.warn("{} is closed: {} {}", this, code, message);
        Reject.Builder reject = Reject.newBuilder().setCode(code.number()).setMessage(message);
        lose(new ResultException(code, message));
        closeAfter(mChannel.writeAndFlush(Frame.newBuilder().setReject(reject).build()));
    }

    /**
     * Closes the channel once the frames submitted so far are written. Calls under way are lost.
     * Thread safe.
     */
    final void finish() {
        mOutbox.submit(
                () -> {
                    if (!mClosing) {
                        lose(new ResultException(ResultCode.ATTEMPT_LOST, "stopped here"));
                        // Before the encoders, which would make it a frame of length zero.
                        closeAfter(
                                mChannel.pipeline()
                                        .firstContext()
                                        .writeAndFlush(Unpooled.EMPTY_BUFFER));
                    }
                });
    }

    private void closeAfter(ChannelFuture lastWrite) {
        lastWrite.addListener(
                written -> {
                    if (written.isSuccess() && mChannel instanceof DuplexChannel duplex) {
                        var _ = duplex.shutdownOutput();
                    } else {
                        close();
                    }
                });
        schedule(this::close, LINGER_MILLIS);
    }

    private void lose(ResultException reason) {
        if (mClosing) {
            return;
        }
        mClosing = true;
        onLost(reason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Throwable reason =
                cause instanceof DecoderException && cause.getCause() != null
                        ? cause.getCause()
                        : cause;
        switch (reason) {
            case TooLongFrameException e -> reject(ResultCode.FRAME_TOO_LARGE, e.getMessage());
            case CorruptedFrameException e -> reject(ResultCode.MALFORMED_FRAME, e.getMessage());
            case InvalidProtocolBufferException e ->
                    reject(ResultCode.MALFORMED_FRAME, e.getMessage());
            case IOException e -> {
                Logger.debug("{} failed: {}", this, e.getMessage());
                close();
            }
            default -> {
                Logger.error(reason, "{} failed", this);
                close();
            }
        }
    }

    // Timers.

    /** Runs a task on the I/O thread after a delay, unless the channel is closed by then. */
    final void schedule(Runnable task, long delayMillis) {
        Runnable ifOpen =
                () -> {
                    if (mChannel.isOpen()) {
                        task.run();
                    }
                };
        var _ = mChannel.eventLoop().schedule(ifOpen, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void checkHandshake() {
        if (mPeer == null) {
            reject(
                    ResultCode.HANDSHAKE_TIMEOUT,
                    "no Hello within " + limits().handshakeTimeoutMillis() + " ms");
        }
    }

    private long idleCheckMillis() {
        return Math.max(1, limits().idleMillis() / IDLE_CHECKS);
    }

    /**
     * Counts checks without a frame or without progress in sending. Counting, unlike comparing
     * times, does not take a pause of this process for a silent peer.
     */
    private void checkIdle() {
        if (mClosing) {
            return;
        }
        mSilentChecks++;
        boolean stalled =
                mOutbox.hasPendingWrites() && mOutbox.writtenFrames() == mWrittenFramesSeen;
        mStalledChecks = stalled ? mStalledChecks + 1 : 0;
        mWrittenFramesSeen = mOutbox.writtenFrames();
        if (mStalledChecks >= IDLE_CHECKS) {
            reject(ResultCode.PEER_NOT_READING, unsentMessage());
        } else if (mSilentChecks > IDLE_CHECKS) {
            Logger.warn("{} is closed: no frame for {} ms", this, limits().idleMillis());
            close();
        } else {
            schedule(this::checkIdle, idleCheckMillis());
        }
    }

    private String unsentMessage() {
        return mOutbox.unsentBytes() + " bytes wait for a peer that does not read";
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        mOutbox.pump();
    }

    // Helpers.

    /** Returns the first bytes of a body part, as many as a frame carries. */
    final ByteString nextPart(ByteString body, long limit) {
        return body.substring(0, (int) Math.min(Math.min(body.size(), mMaxPartBytes), limit));
    }

    @Override
    public String toString() {
        Hello peer = mPeer;
        String name = peer == null ? "unknown peer" : peer.getNode();
        return "connection with " + name + " at " + mChannel.remoteAddress();
    }
}
