package org.oleandertrack.protocol;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.util.function.Supplier;
import org.oleandertrack.protocol.message.Frame;

/** Sets up the channel of a connection: socket options, frame codec and connection handler. */
final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

    /**
     * No body frames are written from the time when the channel's pending bytes exceed the high
     * mark until they fall below the low mark. The marks are small enough that a short frame waits
     * behind 256 KiB at most, and large enough that the socket does not run out of data.
     */
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(64 << 10, 256 << 10);

    private final int mMaxFrameBytes;
    private final ChannelGroup mChannels;
    private final Supplier<Connection> mConnectionFactory;

    ConnectionInitializer(
            int maxFrameBytes, ChannelGroup channels, Supplier<Connection> connectionFactory) {
        mMaxFrameBytes = maxFrameBytes;
        mChannels = channels;
        mConnectionFactory = connectionFactory;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.config().setTcpNoDelay(true);
        channel.config().setWriteBufferWaterMark(WATER_MARK);
        mChannels.add(channel);
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new ProtobufVarint32FrameDecoder(mMaxFrameBytes));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(mConnectionFactory.get());
    }
}
