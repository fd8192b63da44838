package pumicemoor.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import pumicemoor.Logic;
import pumicemoor.RouterApi;
import pumicemoor.RouterApi.AnswerStarted;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.PeerMessage;
import pumicemoor.RouterApi.ProbeEnded;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.Settings;
import pumicemoor.RouterApi.TimerDue;

/** Hosts the instances of one simulator process: reads batches of events, answers each with one reply. */
public final class SimulatorAdapter {

    private static final Map<String, MemberListKind> LIST_KINDS = Map.of(
            "delta",
            MemberListKind.DELTA,
            "full",
            MemberListKind.SNAPSHOT,
            "cached",
            MemberListKind.RESTORED,
            "failed",
            MemberListKind.FAILED);
    private static final FillResult[] FILL_NOTES = FillResult.values();

    private final BufferedReader in;
    private final OutputStream out;
    private final ActionWriter writer;
    private final BiFunction<Settings, Long, RouterApi> routers;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Long, List<Message>> lists = new HashMap<>();
    private long clock;
    private long round;
    private boolean inBatch;
    private boolean started;

    private record Instance(int number, SettingsReader words, RouterApi router) {}

    public SimulatorAdapter(InputStream in, OutputStream out) throws IOException {
        this(in, out, Logic::new);
    }

    SimulatorAdapter(InputStream in, OutputStream out, BiFunction<Settings, Long, RouterApi> routers) throws IOException {
        this.routers = routers;
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.writer = new ActionWriter(out);
    }

    /** Serves batches until the input ends. */
    public void run() throws IOException, WireException {
        long number = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            number++;
            try {
                take(Message.parse(line));
            } catch (WireException e) {
                throw new WireException("line " + number + ": " + e.getMessage());
            }
        }
        if (inBatch) {
            throw new WireException("line " + number + ": input ends within batch " + round);
        }
    }

    private void take(Message message) throws IOException, WireException {
        String name = message.text("msg");
        if (name.equals("Sync")) {
            startBatch(message);
            return;
        }
        if (!inBatch) {
            throw new WireException("'" + name + "' outside of a batch");
        }
        switch (name) {
            case "YourTurn" -> {
                inBatch = false;
                writer.end(round, out);
            }
            case "List" -> lists.put(message.integer("sheet"), message.objects("nodes-list"));
            case "Born" -> start(message);
            case "Shutdown" -> {
                instance(message);
                instances.remove((int) message.integer("router"));
            }
            default -> {
                Instance instance = instance(message);
                handle(instance, event(name, message, instance.words()));
            }
        }
    }

    private void startBatch(Message message) throws WireException {
        long nextClock = message.integer("clock-us");
        long nextRound = message.integer("round");
        if (inBatch) {
            throw new WireException("batch " + nextRound + " opens within batch " + round);
        }
        if (started && (nextRound != round + 1 || nextClock < clock)) {
            throw new WireException("batch " + nextRound + " at " + nextClock + " is out of order after batch " + round
                    + " at " + clock);
        }
        clock = nextClock;
        round = nextRound;
        inBatch = true;
        started = true;
    }

    private void start(Message message) throws IOException, WireException {
        int number = (int) message.integer("router");
        SettingsReader words = new SettingsReader(message.object("info"));
        long salt = message.integer("salt");
        try {
            instances.put(number, new Instance(number, words, routers.apply(words.settings(), salt)));
        } catch (RuntimeException e) {
            writer.fault(number, describe(e));
        }
    }

    private Instance instance(Message message) throws WireException {
        int number = (int) message.integer("router");
        Instance instance = instances.get(number);
        if (instance == null) {
            throw new WireException("'" + message.text("msg") + "' for router " + number + ", which was never born");
        }
        return instance;
    }

    private void handle(Instance instance, Event event) throws IOException {
        try {
            instance.router().handle(clock, event, action -> {
                try {
                    writer.write(instance.number(), action);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        } catch (UncheckedIOException e) {
            throw e.getCause();
        } catch (RuntimeException e) {
            writer.fault(instance.number(), describe(e));
        }
    }

    private static String describe(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        return e + (trace.length > 0 ? " at " + trace[0] : "");
    }

    private Event event(String name, Message m, SettingsReader words) throws WireException {
        return switch (name) {
            case "Fleet" -> members(m, words);
            case "Arrival" ->
                new RequestArrived(
                        m.text("id"),
                        words.requestClass(m.text("grade")),
                        m.text("asset", ""),
                        (int) m.integer("chunk", 0),
                        (int) m.integer("group", -1),
                        m.number("size-kb", 0),
                        m.integer("time-left-us"),
                        m.flag("again-by-client"));
            case "Opened" ->
                new AnswerStarted(m.text("id"), (int) m.integer("trial"), m.integer("server"), m.integer("lag-us"));
            case "Verdict" ->
                new AttemptEnded(
                        m.text("id"),
                        (int) m.integer("trial"),
                        m.integer("server"),
                        words.outcome(m.integer("rc")),
                        m.integer("lag-us"),
                        m.flag("settled"),
                        note(m),
                        m.integer("waited-us", 0),
                        m.objectOrEmpty("load").numbersByName());
            case "Lapsed" -> new RequestAbandoned(m.text("id"));
            case "Checked" ->
                new ProbeEnded(
                        m.integer("server"),
                        words.outcome(m.integer("rc")),
                        m.integer("lag-us"),
                        m.objectOrEmpty("load").numbersByName());
            case "TickDue" -> new TimerDue(m.integer("cookie"));
            case "Invalidated" ->
                new Purged(m.text("asset", null), (int) m.integer("set-no", -1), m.integer("how-old-us", 0));
            case "FromPeer" -> new PeerMessage((int) m.integer("origin-peer"), bytes(m.text("bytes", "")));
            default -> throw new WireException("unknown message '" + name + "'");
        };
    }

    private MemberListUpdate members(Message m, SettingsReader words) throws WireException {
        MemberListKind kind = LIST_KINDS.get(m.text("mode"));
        if (kind == null) {
            throw new WireException("field 'mode' has the unknown value '" + m.text("mode") + "'");
        }
        List<Member> members = new ArrayList<>();
        if (kind != MemberListKind.FAILED) {
            List<Message> lines = lists.get(m.integer("sheet"));
            if (lines == null) {
                throw new WireException("list " + m.integer("sheet") + " was never sent");
            }
            for (Message line : lines) {
                members.add(words.member(line));
            }
        }
        return new MemberListUpdate(kind, m.integer("gen", 0), members);
    }

    private static FillResult note(Message m) throws WireException {
        long note = m.integer("info", 0);
        return note >= 0 && note < FILL_NOTES.length ? FILL_NOTES[(int) note] : FillResult.NONE;
    }

    private static byte[] bytes(String text) throws WireException {
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new WireException("field 'bytes' is not base64");
        }
    }
}
