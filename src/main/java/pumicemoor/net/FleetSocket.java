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
 * The UDP socket by which routers of a fleet speak. It owns that socket alone: what came goes on as it came, and what
 * can't be sent is lost, as any packet may be. It must never read a packet.
 */
final class FleetSocket {

    private final Loop loop;
    private Channel channel;

    FleetSocket(Loop loop) {
        this.loop = loop;
    }

    /** Listens; an address that can't be had is an exception. */
    void listen(EventLoopGroup group, String address) throws InterruptedException {
        channel = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                // one byte more than a packet may have, so that a longer one is not taken for one cut to fit
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(PacketCodec.LONGEST + 1))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        loop.submit(new Input.FleetPacketReceived(ByteBufUtil.getBytes(packet.content())));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // a peer that is not there; who lives is found out by who answers
                    }
                })
                .bind(inet(address))
                .sync()
                .channel();
    }

    private static InetSocketAddress inet(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    void send(String address, byte[] bytes) {
        if (channel != null && channel.isWritable()) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), inet(address)));
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }
}
