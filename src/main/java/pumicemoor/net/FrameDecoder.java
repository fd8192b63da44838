package pumicemoor.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Cuts what a client sends into frames, without their length. It owns the frame that is coming in and must
 * never let a length decide how much is kept: one over the limit ends the connection.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

    private int reads;

    FrameDecoder(int longestFrame) {
        super(longestFrame + ClientFrame.LENGTH_BYTES, 0, ClientFrame.LENGTH_BYTES, 0, ClientFrame.LENGTH_BYTES);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        reads++;
        super.channelRead(ctx, message);
    }

    /** How often bytes have come. */
    int reads() {
        return reads;
    }

    /** Whether part of a frame has come and the rest has not. */
    boolean midway() {
        return actualReadableBytes() > 0;
    }
}
