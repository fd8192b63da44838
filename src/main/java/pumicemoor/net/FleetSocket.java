package pumicemoor.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import pumicemoor.fleet.PacketCodec;
import pumicemoor.node.Input;

/**
 * The UDP socket for packets between the routers of a fleet. It owns that socket only: received packets are passed on
 * unparsed, and a packet that cannot be sent is dropped, as any packet may be lost. It must never parse a packet.
 */
final class FleetSocket {

    private final Loop loop;
    private Channel channel;

    FleetSocket(Loop loop) {
        this.loop = loop;
    }

    /** Binds the socket; throws an exception if the address is not available. */
    void listen(EventLoopGroup group, String address) throws InterruptedException {
        channel = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                // one byte more than the largest valid packet, so that a longer one is not mistaken for a valid one
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(PacketCodec.MAX_PACKET_BYTES + 1))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        loop.submit(new Input.FleetPacketReceived(ByteBufUtil.getBytes(packet.content())));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // a peer is unreachable, which the membership protocol detects by missing answers
                    }
                })
                .bind(socketAddress(address))
                .sync()
                .channel();
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    void send(String address, byte[] bytes) {
        if (channel != null && channel.isWritable()) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), socketAddress(address)));
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }
}
