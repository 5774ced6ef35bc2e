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
 * Base class of both ends of a connection: handshake, heartbeats, limits and closing. Methods run
 * on the I/O thread unless their documentation says otherwise.
 */
abstract class Connection extends SimpleChannelInboundHandler<Frame> {

    /** Upper bound of the encoded size of a body frame without its data. */
    private static final int BODY_FRAME_OVERHEAD_BYTES = 64;

    /**
     * Largest number of body bytes in a frame, so that other frames can be sent between those of a
     * long body.
     */
    private static final int MAX_FRAME_DATA_BYTES = 64 << 10;

    /**
     * Smallest frame limit accepted from a peer; a smaller frame could not hold a typical call
     * head.
     */
    private static final int MIN_PEER_FRAME_LIMIT_BYTES = 1 << 10;

    /**
     * Time for which received bytes are still read and discarded after the last frame is sent.
     * Closing a socket with unread bytes resets the connection, and the peer might not receive that
     * frame.
     */
    private static final int LINGER_MILLIS = 1_000;

    /** Number of idle checks within one idle timeout. */
    private static final int IDLE_CHECKS_PER_TIMEOUT = 4;

    private final ConnectionContext mContext;
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();
    private Channel mChannel;
    private Outbox mOutbox;
    private volatile Hello mPeerHello;
    private volatile boolean mClosing;
    private int mMaxFrameDataBytes;
    private int mChecksWithoutFrame;
    private int mChecksWithoutProgress;
    private long mWrittenFramesAtLastCheck;

    Connection(ConnectionContext context) {
        mContext = context;
    }

    // Implemented by the connecting and the accepting end.

    /** Called once the channel is open. */
    abstract void onOpen();

    /** Called when the peer's Hello has arrived and is valid. */
    abstract void onHandshake(Hello peer);

    /** Handles a heartbeat, before it is passed to the control handler. */
    abstract void onHeartbeat(Heartbeat heartbeat);

    /** Handles a frame of a call. */
    abstract void onCallFrame(Frame frame);

    /** Called once, when the connection starts to close or has been closed by the peer. */
    abstract void onClosing(ResultException reason);

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
        if (mPeerHello == null) {
            String message = "the connection was closed during the handshake";
            markClosing(new ResultException(ResultCode.TARGET_UNREACHABLE, message));
        } else {
            markClosing(new ResultException(ResultCode.ATTEMPT_LOST, "the connection was closed"));
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

    /** Returns the peer's Hello, or null before the handshake. Thread safe. */
    final Hello peerHello() {
        return mPeerHello;
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

    /** Returns true once the connection is closing and processes no more frames. Thread safe. */
    final boolean isClosing() {
        return mClosing;
    }

    /** Returns the largest number of body bytes in a frame to this peer. */
    final int maxFrameDataBytes() {
        return mMaxFrameDataBytes;
    }

    /** Returns true if the frame does not exceed the peer's frame limit. */
    final boolean fitsPeerLimit(Frame frame) {
        return Integer.compareUnsigned(frame.getSerializedSize(), mPeerHello.getMaxFrameBytes())
                <= 0;
    }

    // Sending.

    /**
     * Sends a control frame. Thread safe.
     *
     * @throws IllegalArgumentException if the frame belongs to a call or to the handshake
     * @throws ResultException with FRAME_TOO_LARGE if the frame exceeds the peer's frame limit
     */
    final void sendControl(Frame frame) {
        if (!isControlFrame(frame)) {
            throw new IllegalArgumentException(frame.getPayloadCase() + " is not a control frame");
        }
        if (!fitsPeerLimit(frame)) {
            throw new ResultException(
                    ResultCode.FRAME_TOO_LARGE,
                    "cannot send a control frame: its size of "
                            + frame.getSerializedSize()
                            + " bytes exceeds the peer's limit of "
                            + mPeerHello.getMaxFrameBytes());
        }
        submitFrame(frame);
    }

    /**
     * Submits a frame to the outbox. Closes the connection instead if the unsent bytes would exceed
     * their limit. Thread safe.
     */
    final void submitFrame(Frame frame) {
        long bytes = frame.getSerializedSize();
        if (reserveOrClose(bytes)) {
            mOutbox.submit(() -> writeReserved(frame, bytes));
        }
    }

    /**
     * Writes a frame to the channel without a flush. Closes the connection instead if the unsent
     * bytes would exceed their limit.
     */
    final void writeFrame(Frame frame) {
        long bytes = frame.getSerializedSize();
        if (reserveOrClose(bytes)) {
            writeReserved(frame, bytes);
        }
    }

    /**
     * Reserves bytes in the outbox and returns true. Closes the connection and returns false if the
     * unsent bytes would exceed their limit. Returns false if the connection is closing. Thread
     * safe.
     */
    final boolean reserveOrClose(long bytes) {
        if (mClosing) {
            return false;
        }
        if (mOutbox.reserveBytes(bytes)) {
            return true;
        }
        mOutbox.submit(() -> reject(ResultCode.PEER_NOT_READING, describeUnsentBytes()));
        return false;
    }

    private void writeReserved(Frame frame, long bytes) {
        if (mClosing) {
            mOutbox.releaseBytes(bytes);
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
                        .setClockNanos(readHelloClock());
        writeFrame(Frame.newBuilder().setHello(hello).build());
        mOutbox.sendBodiesAndFlush();
    }

    /** Reads the local clock for the Hello. */
    long readHelloClock() {
        return mContext.nanoClock().getAsLong();
    }

    /**
     * Sends a heartbeat with this process's status.
     *
     * @param clockNanos reading of the local clock
     * @param echoClockNanos sender's clock reading in the heartbeat that this one answers, or 0
     */
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
        mOutbox.sendBodiesAndFlush();
    }

    // Receiving.

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        mChecksWithoutFrame = 0;
        if (mClosing) {
            return;
        }
        try {
            if (mPeerHello == null) {
                readHandshake(frame);
            } else {
                readFrame(frame);
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
                mMaxFrameDataBytes = Math.min(maxDataBytes, MAX_FRAME_DATA_BYTES);
                mPeerHello = hello;
                schedule(this::checkIdle, idleCheckIntervalMillis());
                onHandshake(hello);
            }
            case REJECT -> onReject(frame.getReject());
            default ->
                    throw malformedFrame(
                            "expected HELLO as the first frame, but "
                                    + frame.getPayloadCase()
                                    + " arrived");
        }
    }

    private static void checkHello(Hello hello) {
        if (hello.getMajorVersion() != ProtocolVersion.MAJOR) {
            throw new ResultException(
                    ResultCode.UNSUPPORTED_VERSION,
                    "the peer uses major version "
                            + Integer.toUnsignedString(hello.getMajorVersion())
                            + ", this process supports only "
                            + ProtocolVersion.MAJOR);
        }
        if (hello.getRole() == Role.ROLE_UNSPECIFIED || hello.getRole() == Role.UNRECOGNIZED) {
            throw malformedFrame("Hello has no role or an unknown role");
        }
        if (hello.getIncarnation() == 0) {
            throw malformedFrame("Hello has no incarnation");
        }
        if (Integer.compareUnsigned(hello.getMaxFrameBytes(), MIN_PEER_FRAME_LIMIT_BYTES) < 0) {
            throw malformedFrame(
                    "Hello accepts only frames under " + MIN_PEER_FRAME_LIMIT_BYTES + " bytes");
        }
        if (hello.getResponseWindowBytes() <= 0) {
            throw malformedFrame(
                    "Hello has a response window that is zero or exceeds 2^31 - 1 bytes");
        }
    }

    private void readFrame(Frame frame) {
        switch (frame.getPayloadCase()) {
            case HELLO -> throw malformedFrame("received a second Hello");
            case REJECT -> onReject(frame.getReject());
            case CALL, CALL_BODY, CREDIT, CANCEL, RESPONSE_HEAD, RESPONSE_BODY, RESPONSE_END ->
                    onCallFrame(frame);
            case HEARTBEAT -> {
                onHeartbeat(frame.getHeartbeat());
                onControl(frame);
            }
            default -> {
                // A frame with an unknown payload is ignored, because a later minor version of the
                // protocol may add payloads.
                if (isControlFrame(frame)) {
                    onControl(frame);
                } else if (frame.getUnknownFields().asMap().isEmpty()) {
                    throw malformedFrame("received a frame without a payload");
                }
            }
        }
    }

    private static boolean isControlFrame(Frame frame) {
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
            mContext.controlHandler().onControl(mPeerHello, frame, this::sendControl);
        } catch (RuntimeException e) {
            Logger.error(
                    e,
                    "the control handler failed on a {} frame; the connection stays open",
                    frame.getPayloadCase());
        }
    }

    private void onReject(Reject reject) {
        ResultCode code =
                ResultCode.fromNumber(reject.getCode()).orElse(ResultCode.MALFORMED_FRAME);
        Logger.warn("{} rejected the connection: {} {}", this, code, reject.getMessage());
        markClosing(
                new ResultException(
                        code, "the peer rejected the connection: " + reject.getMessage()));
        close();
    }

    // Closing.

    /** Creates an exception for a frame that is invalid in the current state of the connection. */
    static ResultException malformedFrame(String message) {
        return new ResultException(ResultCode.MALFORMED_FRAME, message);
    }

    /** Sends a Reject with the reason to the peer, then closes the connection. */
    final void reject(ResultCode code, String message) {
        if (mClosing) {
            return;
        }
        Logger.warn("closing {}: {} {}", this, code, message);
        Reject.Builder reject = Reject.newBuilder().setCode(code.number()).setMessage(message);
        markClosing(new ResultException(code, message));
        closeAfter(mChannel.writeAndFlush(Frame.newBuilder().setReject(reject).build()));
    }

    /**
     * Closes the channel once the frames submitted so far are written. Open calls are lost. Thread
     * safe.
     */
    final void closeAfterPendingWrites() {
        mOutbox.submit(
                () -> {
                    if (!mClosing) {
                        markClosing(
                                new ResultException(
                                        ResultCode.ATTEMPT_LOST,
                                        "the connection was closed because this process stops"));
                        // The empty buffer completes once all earlier frames are written. It
                        // bypasses the encoders, which would turn it into an empty frame.
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

    /** Marks the connection as closing and reports the reason, unless that has been done before. */
    private void markClosing(ResultException reason) {
        if (mClosing) {
            return;
        }
        mClosing = true;
        onClosing(reason);
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
                Logger.debug("I/O error on {}, closing it: {}", this, e.getMessage());
                close();
            }
            default -> {
                Logger.error(reason, "unexpected exception on {}, closing it", this);
                close();
            }
        }
    }

    // Timers.

    /** Runs a task on the I/O thread after a delay if the channel is still open by then. */
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
        if (mPeerHello == null) {
            reject(
                    ResultCode.HANDSHAKE_TIMEOUT,
                    "the peer sent no Hello within " + limits().handshakeTimeoutMillis() + " ms");
        }
    }

    private long idleCheckIntervalMillis() {
        return Math.max(1, limits().idleTimeoutMillis() / IDLE_CHECKS_PER_TIMEOUT);
    }

    /**
     * Closes the connection after several checks in a row without a received frame, or without a
     * written frame although some are pending. Counts checks rather than comparing times, so that a
     * pause of this process is not mistaken for a silent peer.
     */
    private void checkIdle() {
        if (mClosing) {
            return;
        }
        mChecksWithoutFrame++;
        boolean isStalled =
                mOutbox.hasPendingWrites() && mOutbox.writtenFrames() == mWrittenFramesAtLastCheck;
        mChecksWithoutProgress = isStalled ? mChecksWithoutProgress + 1 : 0;
        mWrittenFramesAtLastCheck = mOutbox.writtenFrames();
        if (mChecksWithoutProgress >= IDLE_CHECKS_PER_TIMEOUT) {
            reject(ResultCode.PEER_NOT_READING, describeUnsentBytes());
        } else if (mChecksWithoutFrame > IDLE_CHECKS_PER_TIMEOUT) {
            Logger.warn(
                    "closing {}: no frame received for {} ms", this, limits().idleTimeoutMillis());
            close();
        } else {
            schedule(this::checkIdle, idleCheckIntervalMillis());
        }
    }

    private String describeUnsentBytes() {
        return mOutbox.unsentBytes() + " bytes are unsent because the peer does not read";
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        mOutbox.sendBodiesAndFlush();
    }

    // Helpers.

    /**
     * Returns the first bytes of the data: as many as one frame may carry, and no more than the
     * limit.
     */
    final ByteString nextFrameData(ByteString data, long limitBytes) {
        return data.substring(
                0, (int) Math.min(Math.min(data.size(), mMaxFrameDataBytes), limitBytes));
    }

    @Override
    public String toString() {
        Hello peer = mPeerHello;
        String name = peer == null ? "unknown peer" : peer.getNode();
        return "connection with " + name + " at " + mChannel.remoteAddress();
    }
}
