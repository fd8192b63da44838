import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Usual clients, each with one connection, on which a request is open (a large object whose cache sends it over a
 * crowded link) when the client begins to write the next one. With the disruption this client writes slowly. Each
 * request whose last byte was written to a connection that had not ended is owed one final answer.
 */
public final class SlowWriter {

    private static final int CLIENTS = 6;
    private static final long MEDIA_TTL = 6_000;
    private static final long BOOKING_TTL = 3_000;
    private static final int BODY_BYTES = 20_000;
    private static final int PIECES = 24;
    private static final long PIECE_GAP_MILLIS = 104; // 2.4 s for the whole frame
    private static final int OBJECT_BYTES = 240_000;
    private static final int SENDING_STEPS = 32;
    private static final long STEP_MILLIS = 100; // 3.2 s for the whole object, 75 kB a second

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        try {
            play(rig);
        } catch (Exception e) {
            rig.finish(2, "the case couldn't run: " + e);
        }
    }

    /** Sends the object in even steps, as over a link that many transfers share. */
    private static void sendSlowly(Rig.Ask ask) {
        Rig.start(() -> {
            byte[] body = Rig.body(ask.fields.get("item"), ask.fields.get("chunk"), OBJECT_BYTES);
            synchronized (ask.link) {
                ask.link.raw(ask.id + " data entity=t" + ask.fields.get("item") + ",issued="
                        + System.currentTimeMillis() + ",tell=mem " + OBJECT_BYTES + "\r\n");
                for (int i = 0; i < SENDING_STEPS; i++) {
                    int from = i * OBJECT_BYTES / SENDING_STEPS;
                    ask.link.raw(Arrays.copyOfRange(body, from, (i + 1) * OBJECT_BYTES / SENDING_STEPS));
                    Rig.sleep(STEP_MILLIS);
                }
                ask.link.raw("\r\n");
            }
        });
    }

    private static void play(Rig rig) throws Exception {
        List<Rig.Member> members = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            members.add(rig.add(rig.new Member("box-" + i, "west", "cache", SlowWriter::sendSlowly)));
        }
        members.add(rig.add(rig.new Member("hub-a", "hub", "hub", SlowWriter::sendSlowly)));
        members.add(rig.add(rig.new Member("store", "hub", "origin", ask -> {
            rig.say("store: runs %s, class %s, %d bytes", ask.id, ask.fields.get("cls"), ask.bodyBytes);
            ask.data(100, "mem");
        })));
        Rig.Coordinator coordinator = rig.add(rig.new Coordinator(1));
        List<String> entries = members.stream().map(m -> m.entry("active", 0)).toList();
        Rig.Router router = rig.add(rig.new Router(
                "n0", Rig.freePort(), Rig.config(coordinator.address(), 192, 1_024, entries,
                        // one transfer a connection, so that the slow transfers don't wait for each other
                        Map.of("multiplex", "1"))));
        if (!router.awaitReady(30_000)) {
            rig.finish(2, "the router is not ready");
        }
        List<Rig.Sent> all = new ArrayList<>();
        List<Thread> writers = new ArrayList<>();
        List<Rig.Client> clients = new ArrayList<>();
        int[] untaken = {0};
        for (int i = 0; i < CLIENTS; i++) {
            Rig.Client client = rig.new Client(router.port, null);
            clients.add(client);
            Rig.Sent first = client.request("media-fetch", MEDIA_TTL, Rig.item(i), 0, 3, new byte[0]);
            synchronized (all) {
                all.add(first);
            }
            rig.say("client %d: request %s (media-fetch) is written", i, first.call);
            int number = i;
            Thread writer = new Thread(() -> {
                try {
                    Rig.Sent second = writeNext(rig, client, number);
                    synchronized (all) {
                        if (second == null) {
                            untaken[0]++;
                        } else {
                            all.add(second);
                        }
                    }
                } catch (IOException | InterruptedException e) {
                    rig.say("client %d: the connection ended before the last byte: not taken", number);
                    untaken[0]++;
                }
            });
            writers.add(writer);
            writer.start();
        }
        for (Thread writer : writers) {
            writer.join();
        }
        Rig.sleep(MEDIA_TTL + Rig.LATEST_MILLIS + 500);
        int lost = 0;
        for (Rig.Sent sent : all) {
            String why = Rig.lost(sent);
            lost += why == null ? 0 : 1;
            rig.say("request %s item %s, last byte at %d ms, ttl %d: code %d after %d ms%s%s", sent.call, sent.item,
                    sent.lastByteAt, sent.ttl, sent.code, sent.answers == 0 ? -1 : sent.answeredAt - sent.lastByteAt,
                    sent.connectionEnded ? ", connection ended at " + sent.endedAt + " ms" : "",
                    why == null ? "" : "  LOST: " + why);
        }
        rig.say("%d requests were taken, %d were not (their connection had ended before)", all.size(), untaken[0]);
        rig.finish(lost > 0 ? 1 : 0, lost + " of " + all.size() + " requests that were taken were lost");
    }

    /** Writes a booking on a connection on which another request is open; null if the connection ends before. */
    private static Rig.Sent writeNext(Rig rig, Rig.Client client, int number) throws IOException, InterruptedException {
        Rig.Sent sent = client.prepare(BOOKING_TTL, Rig.item(1_000 + number));
        byte[] frame = client.frame(
                sent.stream, sent.call, "booking-write", BOOKING_TTL, sent.item, 0, 3, null, new byte[BODY_BYTES]);
        long begun = rig.millis();
        if (rig.trouble) {
            for (int i = 0; i < PIECES; i++) {
                if (client.ended) {
                    rig.say("client %d: the connection has ended before the last byte: not taken", number);
                    return null;
                }
                client.raw(Arrays.copyOfRange(frame, i * frame.length / PIECES, (i + 1) * frame.length / PIECES));
                if (i < PIECES - 1) {
                    Rig.sleep(PIECE_GAP_MILLIS);
                }
            }
        } else {
            client.raw(frame);
        }
        sent.lastByteAt = rig.millis();
        rig.say("client %d: request %s (booking-write) is written, in %d ms; told to bring nothing new: %s; told of an"
                + " error on stream 0: %s; connection ended: %s", number, sent.call, sent.lastByteAt - begun,
                client.drained, client.toldOfError, client.ended);
        return sent;
    }
}
