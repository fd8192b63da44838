package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import pumicemoor.node.Bytes;

/** A message body in a Netty buffer. It owns one reference to the buffer and must never change its bytes. */
record NettyBytes(ByteBuf buffer) implements Bytes {

    /** Wraps a buffer and takes over the caller's reference to it. */
    static Bytes of(ByteBuf buffer) {
        if (buffer.isReadable()) {
            return new NettyBytes(buffer);
        }
        buffer.release();
        return NONE;
    }

    /** The buffer of a body, or null for an empty one; ownership of the reference passes to the caller. */
    static ByteBuf buffer(Bytes bytes) {
        return bytes instanceof NettyBytes netty ? netty.buffer() : null;
    }

    @Override
    public int size() {
        return buffer.readableBytes();
    }

    @Override
    public Bytes retain() {
        return new NettyBytes(buffer.retainedSlice());
    }

    @Override
    public void release() {
        buffer.release();
    }
}
