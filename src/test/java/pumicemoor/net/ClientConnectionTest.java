package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pumicemoor.RefusalPolicy.EarlierAttempts;
import pumicemoor.node.Bytes;
import pumicemoor.node.Counters;
import pumicemoor.node.Effect;
import pumicemoor.node.Effect.Code;
import pumicemoor.node.Input;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.node.RequestIdentity;
import pumicemoor.node.ResourceLimits;

/** Frames of clients, however their bytes are split, and the frames that answer them. */
class ClientConnectionTest {

    private static final Map<String, String> FIELDS = new TreeMap<>(Map.of(
            "op",
            "segment",
            "call",
            "9b1f03aa5c7e2d41",
            "ttl",
            "1500",
            "rep",
            "1",
            "row",
            "7f3a9c21e0b4d655",
            "piece",
            "3",
            "lot",
            "17",
            "ver",
            "4be0c1927d55a6f3"));

    private static final String PUSHBACK = "08" + ByteBufUtil.hexDump("pushback".getBytes(StandardCharsets.US_ASCII))
            + "0003" + ByteBufUtil.hexDump("500".getBytes(StandardCharsets.US_ASCII));

    private final TestLoop loop = new TestLoop();
    private final PartialFrames partialFrames = new PartialFrames(1_000_000, new Counters());
    private ResourceLimits limits;
    private boolean socketAcceptsBytes;
    private long usedBytes;
    private ClientConnection connection;
    private EmbeddedChannel channel;

    @BeforeEach
    void start() throws Exception {
        NodeConfig config = NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:1", ""));
        limits = ResourceLimits.of(config.settingsReader().settings(), config.resources());
        open();
    }

    private void open() {
        loop.inputs.clear();
        FrameDecoder decoder =
                new FrameDecoder(limits.maxFrameBytes(), partialFrames, new ReadTurns(task -> {}, () -> 0));
        connection = new ClientConnection(
                1, decoder, limits, new BufferBudget(() -> usedBytes, 1_000_000), new Counters(), loop);
        channel = new EmbeddedChannel(decoder, connection);
    }

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
    }

    private static byte[] frame(int type, int stream, Map<String, String> fields, byte[] body) {
        ByteBuf frame = Unpooled.buffer().writeInt(0).writeByte(type).writeInt(stream);
        if (fields != null) {
            frame.writeByte(fields.size());
            fields.forEach((name, value) -> {
                frame.writeByte(name.length()).writeBytes(name.getBytes(StandardCharsets.UTF_8));
                frame.writeShort(value.length()).writeBytes(value.getBytes(StandardCharsets.UTF_8));
            });
        }
        frame.writeBytes(body).setInt(0, frame.readableBytes() - 4);
        return ByteBufUtil.getBytes(frame);
    }

    private static byte[] request(int stream, String... changes) {
        Map<String, String> fields = new TreeMap<>(FIELDS);
        for (int i = 0; i < changes.length; i += 2) {
            if (changes[i + 1] == null) {
                fields.remove(changes[i]);
            } else {
                fields.put(changes[i], changes[i + 1]);
            }
        }
        return frame(7, stream, fields, new byte[] {1, 0, 13, 10, -1});
    }

    private List<Input> inputs() {
        return List.copyOf(loop.inputs);
    }

    private void write(byte[] bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes));
    }

    private String written() {
        ByteBuf all = Unpooled.buffer();
        for (ByteBuf message = channel.readOutbound(); message != null; message = channel.readOutbound()) {
            all.writeBytes(message);
            message.release();
        }
        return ByteBufUtil.hexDump(all);
    }

    private void checkRequest() {
        Input.Request request = (Input.Request) inputs().get(0);
        ByteBuf body = NettyBytes.buffer(request.body());
        assertEquals("01000d0aff", ByteBufUtil.hexDump(body));
        assertEquals(
                new Input.Request(
                        1,
                        5,
                        "9b1f03aa5c7e2d41",
                        "segment",
                        "7f3a9c21e0b4d655",
                        3,
                        17,
                        "4be0c1927d55a6f3",
                        1500,
                        true,
                        request.body()),
                request);
        body.release();
    }

    @Test
    void requestIsDecodedWhereverTheInputIsSplit() {
        byte[] request = request(5);
        for (int split = 0; split <= request.length; split++) {
            open();
            channel.writeInbound(Unpooled.copiedBuffer(request, 0, split));
            channel.writeInbound(Unpooled.copiedBuffer(request, split, request.length - split));
            assertEquals(1, loop.inputs.size());
            checkRequest();
            channel.finishAndReleaseAll();
        }
    }

    @Test
    void absentFieldsHaveTheirDefaults() {
        write(frame(
                7,
                5,
                Map.of("op", "order", "call", "00000000000000c1", "row", "00000000000000a1", "ttl", "9"),
                new byte[0]));
        assertEquals(
                new Input.Request(
                        1, 5, "00000000000000c1", "order", "00000000000000a1", 0, -1, null, 9, false, Bytes.NONE),
                inputs().get(0));
    }

    @Test
    void requestWithAnInvalidFieldFailsAndTheConnectionStaysOpen() {
        String[][] invalidChanges = {
            {"call", null},
            {"op", null},
            {"row", null},
            {"ttl", null},
            {"ttl", "-1"},
            {"ttl", "soon"},
            {"lot", "256"},
            {"piece", "-1"},
            {"call", "a b"},
            {"row", "x,miss=s-1"},
            {"row", "a\r\nASK"},
            {"op", ""},
            {"call", "9b1f03aa5c7e2d4"},
            {"ttl", "99999999"},
            {"ttl", "+5"},
            {"ttl", "9".repeat(30)},
            {"rep", "2"}
        };
        int stream = 0;
        for (String[] change : invalidChanges) {
            write(request(++stream, change));
            String answer = "00000007" + "08" + String.format("%08x", stream) + "09" + "00";
            if (stream % limits.maxProtocolErrors() != 0) {
                assertEquals(answer, written());
                assertTrue(channel.isOpen());
            } else { // too many invalid requests close the connection
                assertEquals(answer + "0000000708000000000900", written());
                assertFalse(channel.isOpen());
                open();
            }
        }
        assertTrue(loop.inputs.stream().noneMatch(Input.Request.class::isInstance));
        write(request(100));
        assertEquals(1, loop.inputs.size());
        ((Input.Request) inputs().get(0)).body().release();
    }

    @Test
    void duplicateFieldFailsTheRequest() {
        byte[] once = request(5);
        byte[] twice = java.util.Arrays.copyOf(once, once.length + 9);
        byte[] field = {3, 'l', 'o', 't', 0, 2, '1', '7'};
        System.arraycopy(once, 10, twice, 18, once.length - 10);
        System.arraycopy(field, 0, twice, 10, 8);
        twice[9]++;
        twice[3] += 9;
        write(twice);
        assertEquals("00000007" + "0800000005" + "0900", written());
    }

    @Test
    void streamThatWasUsedIsNotAcceptedAgainAfterItsAnswer() {
        for (int stream : new int[] {1, 2, 5, 3, 700}) {
            write(request(stream));
            connection.answer(new Effect.Answer(1, stream, Code.FAILED, false, 0, Bytes.NONE));
        }
        assertTrue(channel.isOpen());
        loop.inputs.forEach(i -> ((Input.Request) i).body().release());
        write(request(3));
        assertFalse(channel.isOpen());
        written();
    }

    @Test
    void clientThatSendsNoCompleteRequestIsDisconnectedWithinThreeSeconds() {
        byte[][] starts = {{}, {0}, java.util.Arrays.copyOf(request(5), 30), frame(9, 5, null, new byte[0])};
        for (byte[] beginning : starts) {
            open();
            write(beginning);
            for (int i = 0; i < 3_000_000 / limits.sweepInterval(); i++) {
                loop.time += limits.sweepInterval();
                connection.sweep(loop.time);
            }
            assertFalse(channel.isOpen(), "after " + beginning.length + " bytes");
            assertEquals("0000000708000000000900", written());
        }
    }

    @Test
    void clientWithAValidRequestMayIdleButAPartialFrameEndsIt() {
        write(frame(1, 3, Map.of(), new byte[0]));
        loop.time += limits.clientRequestTimeout() * 2;
        connection.sweep(loop.time);
        assertTrue(channel.isOpen());
        write(new byte[] {0, 0});
        connection.sweep(loop.time);
        loop.time += limits.clientRequestTimeout() + 1;
        connection.sweep(loop.time);
        assertFalse(channel.isOpen());
        written();
    }

    /** Guards against a request that is written slowly beside an open one and dropped unread (review case 8). */
    @Test
    void requestThatIsWrittenSlowlyBesideAnOpenOneIsAccepted() {
        write(request(5));
        byte[] slow = request(6);
        for (byte next : slow) {
            write(new byte[] {next});
            loop.time += limits.maxFrameTime() / (slow.length + 1);
            connection.sweep(loop.time);
        }
        assertEquals(2, inputs().size());
        inputs().forEach(i -> ((Input.Request) i).body().release());
    }

    /** Guards against a request that stops half way beside an open one and is dropped unread when it goes on. */
    @Test
    void requestThatStopsBesideAnOpenOneIsRefusedAtItsEnd() {
        write(request(5));
        byte[] slow = request(6);
        write(java.util.Arrays.copyOf(slow, 30));
        connection.sweep(loop.time);
        loop.time += limits.clientRequestTimeout() + 1;
        connection.sweep(loop.time);
        assertTrue(channel.isOpen());
        assertEquals("", written());
        write(java.util.Arrays.copyOfRange(slow, 30, slow.length));
        assertEquals("0000001508" + "00000006" + "0001" + PUSHBACK, written());
        assertEquals(1, inputs().size());
        inputs().forEach(i -> ((Input.Request) i).body().release());
    }

    /** Guards against a request that waits for more input, since its last read had just the length that it lacked. */
    @Test
    void requestWhoseLastReadFilledItsBufferIsSubmittedAtOnce() {
        channel.config().setRecvByteBufAllocator(new FilledReads());
        write(request(5));
        checkRequest();
    }

    /** Read sizes of a socket whose reads fill their buffer. */
    private static final class FilledReads extends DefaultMaxMessagesRecvByteBufAllocator {
        @Override
        @SuppressWarnings("deprecation") // the method that Netty calls
        public Handle newHandle() {
            MaxMessageHandle handle = new MaxMessageHandle() {
                @Override
                public int guess() {
                    return 1;
                }
            };
            handle.attemptedBytesRead(1);
            handle.lastBytesRead(1);
            return handle;
        }
    }

    @Test
    void tagWithIllegalCharactersIsNotPassedOn() {
        write(request(5, "ver", "a,b"));
        Input.Request request = (Input.Request) inputs().get(0);
        assertNull(request.clientCopyVersion());
        request.body().release();
    }

    @Test
    void malformedFrameIsReportedOnStreamZeroAndEndsTheConnection() {
        byte[][] malformed = {
            frame(42, 5, null, new byte[0]),
            {0, 0, 0, 2, 7, 7},
            {-1, -1, -1, -1, 0, 0, 0, 0},
            {0, 0x10, 0, 0, 7},
            frame(7, 0, FIELDS, new byte[0])
        };
        for (byte[] bytes : malformed) {
            open();
            write(bytes);
            assertEquals("0000000708000000000900", written());
            assertFalse(channel.isOpen());
            assertTrue(loop.inputs.stream().noneMatch(Input.Request.class::isInstance));
        }
    }

    @Test
    void truncatedFieldsFailTheRequest() {
        byte[] whole = request(5);
        byte[] cut = java.util.Arrays.copyOf(whole, 30);
        cut[3] = 26;
        cut[2] = 0;
        write(cut);
        assertEquals("00000007" + "0800000005" + "0900", written());
    }

    @Test
    void oversizedBodyFailsTheRequest() {
        write(frame(7, 5, FIELDS, new byte[48_001]));
        assertEquals("00000007" + "0800000005" + "0900", written());
    }

    @Test
    void streamThatIsStillOpenIsNotAcceptedAgain() {
        write(request(5));
        checkRequest();
        write(request(5));
        assertEquals("0000000708000000000900", written(), "reported at once");
        assertTrue(channel.isOpen(), "open requests are still answered");
        write(request(6));
        write(frame(9, 5, null, new byte[0]));
        assertEquals(1, loop.inputs.size(), "no further frame is accepted");
        connection.answer(new Effect.Answer(1, 5, Code.SERVED, false, 0, Bytes.NONE));
        assertEquals("00000007" + "08" + "00000005" + "0100", written());
        assertFalse(channel.isOpen());
        assertTrue(loop.inputs.contains(new Input.ClientClosed(1)));
    }

    /** Guards against an answer that is lost because its client goes on sending after an error on its connection. */
    @Test
    void answerIsWrittenToAClientThatGoesOnSendingAfterAnError() {
        write(request(5));
        checkRequest();
        write(frame(42, 6, null, new byte[0]));
        assertEquals("0000000708000000000900", written());
        for (int i = 0; i < 20; i++) {
            write(new byte[100_000]);
        }
        assertTrue(channel.isOpen());
        connection.answer(new Effect.Answer(1, 5, Code.SERVED, false, 0, Bytes.NONE));
        assertEquals("00000007" + "08" + "00000005" + "0100", written());
        assertFalse(channel.isOpen());
    }

    @Test
    void answerIsOneFrameAndIsWrittenOnce() {
        write(request(5));
        checkRequest();
        byte[] body = {9, 8, 7};
        connection.answer(new Effect.Answer(1, 5, Code.SERVED, false, 0, NettyBytes.of(Unpooled.copiedBuffer(body))));
        connection.answer(new Effect.Answer(1, 5, Code.SERVED, false, 0, NettyBytes.of(Unpooled.copiedBuffer(body))));
        assertEquals("0000000a" + "08" + "00000005" + "01" + "00" + "090807", written());
        write(request(6));
        connection.answer(new Effect.Answer(1, 6, Code.SERVED, true, 0, Bytes.NONE));
        assertEquals(
                "00000014" + "08" + "00000006" + "01" + "01" + "09"
                        + ByteBufUtil.hexDump("unchanged".getBytes(StandardCharsets.US_ASCII)) + "0001" + "31",
                written());
        ((Input.Request) inputs().get(1)).body().release();
        write(request(7));
        connection.answer(new Effect.Answer(1, 7, Code.REFUSED, false, 200, Bytes.NONE));
        assertTrue(written()
                .endsWith(ByteBufUtil.hexDump("pushback".getBytes(StandardCharsets.US_ASCII)) + "0003"
                        + ByteBufUtil.hexDump("200".getBytes(StandardCharsets.US_ASCII))));
        ((Input.Request) inputs().get(2)).body().release();
    }

    @Test
    void answerThatCrossesACancellationIsNotWritten() {
        write(request(5));
        checkRequest();
        write(frame(9, 5, null, new byte[0]));
        write(frame(9, 5, null, new byte[0]));
        assertEquals(List.of(new Input.RequestCancelled(1, 5)), inputs().subList(1, loop.inputs.size()));
        ByteBuf body = Unpooled.copiedBuffer(new byte[] {1});
        connection.answer(new Effect.Answer(1, 5, Code.SERVED, false, 0, NettyBytes.of(body)));
        assertEquals("", written());
        assertEquals(0, body.refCnt());
    }

    @Test
    void readinessIsReportedOnTheStreamOfTheRequest() {
        write(frame(1, 3, Map.of(), new byte[0]));
        loop.ready = false;
        write(frame(1, 4, null, new byte[0]));
        assertEquals("00000007" + "02" + "00000003" + "0100" + "00000007" + "02" + "00000004" + "0000", written());
    }

    @Test
    void requestWhoseFrameWasDroppedForLackOfMemoryIsRefusedAtItsEnd() {
        byte[] whole = frame(7, 5, FIELDS, new byte[40_000]);
        write(java.util.Arrays.copyOf(whole, 30_000));
        channel.pipeline().get(FrameDecoder.class).drop();
        assertEquals("", written(), "its last byte has not arrived");
        write(java.util.Arrays.copyOfRange(whole, 30_000, whole.length));
        assertEquals("00000015" + "08" + "00000005" + "0001" + PUSHBACK, written());
        write(request(6));
        assertEquals(1, loop.inputs.size());
        ((Input.Request) inputs().get(0)).body().release();
    }

    @Test
    void drainIsSentOnStreamZero() {
        connection.drain();
        assertEquals("00000005" + "03" + "00000000", written());
    }

    @Test
    void requestsBeyondThirtyTwoOpenStreamsAreRefused() {
        for (int stream = 1; stream <= 33; stream++) {
            write(request(stream));
        }
        assertEquals(32, loop.inputs.size());
        assertEquals("00000015" + "08" + "00000021" + "0001" + PUSHBACK, written());
        loop.inputs.forEach(i -> ((Input.Request) i).body().release());
    }

    @Test
    void requestIsRefusedWithoutBufferCapacityForItsBody() {
        usedBytes = 999_999;
        write(request(5));
        assertTrue(loop.inputs.isEmpty());
        assertEquals("00000015" + "08" + "00000005" + "0001" + PUSHBACK, written());
    }

    @Test
    void clientWithALargeBacklogIsRefusedButItsCancellationsAndCloseAreProcessed() {
        write(request(5));
        checkRequest();
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        channel.runPendingTasks();
        assertTrue(channel.config().isAutoRead(), "with reading paused, the close would go unnoticed");
        write(request(6));
        write(frame(1, 7, null, new byte[0]));
        write(frame(9, 5, null, new byte[0]));
        assertEquals(List.of(new Input.RequestCancelled(1, 5)), inputs().subList(1, loop.inputs.size()));
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        channel.runPendingTasks();
        assertEquals(
                "00000015" + "08" + "00000006" + "0001" + PUSHBACK, written(), "refused, without any other answer");
        write(request(8));
        assertEquals(3, loop.inputs.size());
        ((Input.Request) inputs().get(2)).body().release();
    }

    @Test
    void requestCancelledInTheSameReadIsNeverSubmitted() {
        byte[] requestFrame = request(5);
        byte[] requestAndCancel = java.util.Arrays.copyOf(requestFrame, requestFrame.length + 9);
        System.arraycopy(frame(9, 5, null, new byte[0]), 0, requestAndCancel, requestFrame.length, 9);
        write(requestAndCancel);
        assertTrue(loop.inputs.isEmpty());
        assertEquals("", written());
        write(request(6));
        assertEquals(1, loop.inputs.size());
        ((Input.Request) inputs().get(0)).body().release();
    }

    @Test
    void clientThatDoesNotReadIsDisconnectedAfterItsTimeout() {
        FrameDecoder decoder =
                new FrameDecoder(limits.maxFrameBytes(), partialFrames, new ReadTurns(task -> {}, () -> 0));
        connection = new ClientConnection(
                1, decoder, limits, new BufferBudget(() -> usedBytes, 1_000_000), new Counters(), loop);
        channel = new EmbeddedChannel(decoder, connection) {
            @Override
            protected void doWrite(ChannelOutboundBuffer in) {
                // the socket accepts no bytes
            }
        };
        write(request(5));
        checkRequest();
        connection.answer(
                new Effect.Answer(1, 5, Code.SERVED, false, 0, NettyBytes.of(Unpooled.copiedBuffer(new byte[100]))));
        connection.sweep(loop.time);
        loop.time += limits.clientStallTimeout();
        connection.sweep(loop.time);
        assertTrue(channel.isOpen());
        loop.time++;
        connection.sweep(loop.time);
        assertFalse(channel.isOpen());
    }

    /** A client whose socket accepts bytes only while {@link #socketAcceptsBytes} is set. */
    private void openWithStoppedReader() {
        loop.inputs.clear();
        FrameDecoder decoder =
                new FrameDecoder(limits.maxFrameBytes(), partialFrames, new ReadTurns(task -> {}, () -> 0));
        connection = new ClientConnection(
                1, decoder, limits, new BufferBudget(() -> usedBytes, 1_000_000), new Counters(), loop);
        channel = new EmbeddedChannel(decoder, connection) {
            @Override
            protected void doWrite(ChannelOutboundBuffer in) throws Exception {
                if (socketAcceptsBytes) {
                    super.doWrite(in);
                }
            }
        };
    }

    /** Guards against a connection that is closed over its backlog when a frame arrives (review case 3). */
    @Test
    void cancellationBehindALargeBacklogEndsItsOwnRequestAlone() {
        openWithStoppedReader();
        for (int stream = 1; stream <= 32; stream++) {
            write(request(stream));
        }
        loop.inputs.forEach(input -> ((Input.Request) input).body().release());
        for (int stream = 1; stream <= 31; stream++) {
            connection.answer(new Effect.Answer(
                    1, stream, Code.SERVED, false, 0, NettyBytes.of(Unpooled.copiedBuffer(new byte[240_000]))));
        }
        write(frame(9, 32, null, new byte[0]));
        assertTrue(channel.isOpen());
        assertTrue(loop.inputs.contains(new Input.RequestCancelled(1, 32)));
        write(frame(1, 33, null, new byte[0]));
        assertTrue(channel.isOpen());
        socketAcceptsBytes = true;
        channel.flush();
        assertEquals(31 * (4 + 7 + 240_000), written().length() / 2, "all answers but the cancelled one");
    }

    /** Guards against a client that is never closed although it reads nothing, since it goes on sending. */
    @Test
    void clientThatSendsButDoesNotReadIsDisconnectedAfterItsTimeout() {
        openWithStoppedReader();
        write(request(5));
        checkRequest();
        connection.answer(
                new Effect.Answer(1, 5, Code.SERVED, false, 0, NettyBytes.of(Unpooled.copiedBuffer(new byte[100]))));
        long endMicros = loop.time + limits.clientStallTimeout() + limits.sweepInterval();
        for (int stream = 1_000; channel.isOpen() && loop.time <= endMicros; stream++) {
            loop.time += limits.sweepInterval();
            write(frame(9, stream, null, new byte[0]));
            connection.sweep(loop.time);
        }
        assertFalse(channel.isOpen());
    }

    /** Guards against replies without limit to a client that sends requests and reads nothing. */
    @Test
    void clientIsNotReadWhileTooManyRepliesWaitForIt() {
        openWithStoppedReader();
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        for (int stream = 1; channel.config().isAutoRead() && stream <= 1_000; stream++) {
            write(request(stream));
        }
        assertFalse(channel.config().isAutoRead());
        socketAcceptsBytes = true;
        channel.flush();
        assertTrue(channel.config().isAutoRead());
        assertTrue(written().length() / 2 <= limits.maxWaitingReplyBytes() + 100);
    }

    @Test
    void idleConnectionIsClosedButNotOneWithAnOpenRequest() {
        write(request(5));
        checkRequest();
        loop.time += limits.clientIdleTimeout() + 1;
        connection.sweep(loop.time);
        assertTrue(channel.isOpen());
        connection.answer(new Effect.Answer(1, 5, Code.FAILED, false, 0, Bytes.NONE));
        written();
        connection.sweep(loop.time);
        assertEquals(
                "00000005" + "03" + "00000000", written(), "a drain comes first, so that no request crosses the close");
        assertTrue(channel.isOpen());
        loop.time += limits.clientDrainTime();
        connection.sweep(loop.time);
        assertFalse(channel.isOpen());
    }

    private static final String PUSHED_BACK = "00000015" + "08" + "%08x" + "0001" + PUSHBACK;
    private static final String FAILED_ANSWER = "00000007" + "08" + "%08x" + "0900";
    private static final String BOOKED = "00000000000000b1";

    /** Turns away one request in some way, which may run twice if it is refused, and checks how it is answered. */
    private void checkTurnedAway(int stream, Runnable arrival) {
        for (EarlierAttempts earlier : EarlierAttempts.values()) {
            loop.earlierAttempts = earlier;
            arrival.run();
            boolean mayHaveRun = earlier == EarlierAttempts.MAY_HAVE_RUN;
            String answer = (mayHaveRun ? FAILED_ANSWER : PUSHED_BACK).formatted(stream);
            assertTrue(written().endsWith(answer), "earlier attempts: " + earlier);
            RequestIdentity identity = loop.turnedAway.poll();
            assertEquals(new RequestIdentity(BOOKED, "order", mayHaveRun), identity, "what is asked about");
            assertTrue(loop.turnedAway.isEmpty());
            stop();
            open();
        }
    }

    private byte[] booking(int stream) {
        return request(stream, "op", "order", "call", BOOKED, "rep", loop.earlierAttempts.ordinal() == 0 ? "0" : "1");
    }

    /** Guards against a request that is refused by its connection, although it may have run before. */
    @Test
    void requestThatIsTurnedAwayFailsIfItMayHaveRunBefore() {
        checkTurnedAway(33, () -> {
            for (int stream = 1; stream <= 32; stream++) {
                write(request(stream));
            }
            loop.inputs.forEach(input -> ((Input.Request) input).body().release());
            write(booking(33));
        });
        checkTurnedAway(5, () -> {
            usedBytes = 999_999;
            write(booking(5));
            usedBytes = 0;
        });
        checkTurnedAway(6, () -> {
            channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
            write(booking(6));
            channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
            channel.runPendingTasks();
        });
    }

    /** Guards against a request that was dropped half way, and is refused although it may have run before. */
    @Test
    void requestWhoseFrameWasDroppedFailsIfItMayHaveRunBefore() {
        for (int received : new int[] {9, 10, 30, 100}) { // the fields end after these
            checkTurnedAway(7, () -> {
                byte[] frame = booking(7);
                write(java.util.Arrays.copyOf(frame, received));
                channel.pipeline().get(FrameDecoder.class).drop();
                write(java.util.Arrays.copyOfRange(frame, received, received + 1));
                write(java.util.Arrays.copyOfRange(frame, received + 1, frame.length));
            });
        }
    }

    /** Guards against a request in a flood of frames that is refused although it may have run before. */
    @Test
    void requestAfterTooManyUnreadFramesFailsIfItMayHaveRunBefore() {
        checkTurnedAway(8, () -> {
            ByteBuf flood = Unpooled.buffer();
            for (int i = 0; i <= limits.maxUnreadFrames(); i++) {
                flood.writeBytes(frame(9, 1_000 + i, null, new byte[0]));
            }
            write(ByteBufUtil.getBytes(flood.writeBytes(booking(8))));
        });
    }

    /** Guards against a refusal of what can't be identified: it may have run before. */
    @Test
    void requestThatCanNotBeIdentifiedIsAskedAboutAsUnknown() {
        byte[] longHead = request(5, "aaa", "x".repeat(2_000));
        write(java.util.Arrays.copyOf(longHead, 30));
        channel.pipeline().get(FrameDecoder.class).drop();
        write(java.util.Arrays.copyOfRange(longHead, 30, longHead.length));
        assertEquals(RequestIdentity.UNKNOWN, loop.turnedAway.poll());
    }

    /** Guards against a request that is refused while its first copy waits to be submitted. */
    @Test
    void secondCopyOfAReceivedRequestFails() {
        ByteBuf copies = Unpooled.buffer();
        for (int stream = 1; stream <= 33; stream++) {
            copies.writeBytes(request(stream, "call", "%016x".formatted(stream % 32))); // 33 repeats 1
        }
        write(ByteBufUtil.getBytes(copies));
        assertEquals(FAILED_ANSWER.formatted(33), written());
        loop.inputs.forEach(input -> ((Input.Request) input).body().release());
    }
}
