package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import pumicemoor.node.Bytes;

/** A body held in a buffer of Netty's. It owns one reference of that buffer and must never change its bytes. */
record NettyBytes(ByteBuf buffer) implements Bytes {

    /** Takes over the reference that the caller holds. */
    static Bytes of(ByteBuf buffer) {
        if (buffer.isReadable()) {
            return new NettyBytes(buffer);
        }
        buffer.release();
        return NONE;
    }

    /** The buffer behind a body, or null for one without a byte; the reference goes to the caller. */
    static ByteBuf buffer(Bytes bytes) {
        return bytes instanceof NettyBytes held ? held.buffer() : null;
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
