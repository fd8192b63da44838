package pumicemoor.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Splits a client's input into frames and strips their length field. It owns the frame being received and must never
 * let a length field determine how much is buffered: a length over the limit ends the connection.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

    private int reads;

    FrameDecoder(int maxFrameBytes) {
        super(maxFrameBytes + ClientFrame.LENGTH_BYTES, 0, ClientFrame.LENGTH_BYTES, 0, ClientFrame.LENGTH_BYTES);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        reads++;
        super.channelRead(ctx, message);
    }

    /** The number of reads that have delivered bytes so far. */
    int reads() {
        return reads;
    }

    /** Whether a frame has been received in part. */
    boolean hasPartialFrame() {
        return actualReadableBytes() > 0;
    }
}
