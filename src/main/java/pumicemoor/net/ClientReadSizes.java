package pumicemoor.net;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;

/**
 * Chooses how much is read from a client connection in one turn of the event loop: one buffer, so that no client can
 * make a turn longer by sending more. A client whose requests are short gets a buffer that holds the heads of as many
 * as may be open on a connection; one that sends a long frame gets a buffer for the rest of it, up to a limit, since
 * its bytes are only copied. It must never depend on what other clients send.
 */
final class ClientReadSizes extends DefaultMaxMessagesRecvByteBufAllocator {

    private static final int READS_PER_TURN = 1;
    private static final int MIN_READ_BYTES = 8_192;
    private static final int MAX_READ_BYTES = 65_536;

    private final FrameDecoder decoder;

    ClientReadSizes(FrameDecoder decoder) {
        super(READS_PER_TURN);
        this.decoder = decoder;
    }

    @Override
    @SuppressWarnings("deprecation") // the method that Netty calls
    public Handle newHandle() {
        return new MaxMessageHandle() {
            @Override
            public int guess() {
                return Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, decoder.missingBytes()));
            }
        };
    }
}
