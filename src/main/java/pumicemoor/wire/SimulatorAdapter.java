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
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.PeerMessage;
import pumicemoor.RouterApi.ProbeEnded;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.Settings;
import pumicemoor.RouterApi.TimerDue;

/**
 * Runs the router instances of a simulator process: reads batches of events from a stream and answers each batch with
 * one reply, which holds the actions of the instances. Input and output are lines with one JSON object each. A batch
 * begins with 'Sync' and ends with 'YourTurn'; batches are numbered without gaps, and their time never goes back.
 */
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
    private static final FillResult[] FILL_RESULTS = FillResult.values(); // by their number in the field 'info'

    private final BufferedReader in;
    private final OutputStream out;
    private final ActionWriter writer;
    private final BiFunction<Settings, Long, RouterApi> routerFactory; // from settings and salt
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Long, List<JsonObject>> memberLists = new HashMap<>(); // by the number in the field 'sheet'
    private long clockMicros;
    private long round;
    private boolean batchOpen;
    private boolean anyBatchStarted;

    private record Instance(int number, SettingsReader settings, RouterApi router) {}

    public SimulatorAdapter(InputStream in, OutputStream out) throws IOException {
        this(in, out, Logic::new);
    }

    SimulatorAdapter(InputStream in, OutputStream out, BiFunction<Settings, Long, RouterApi> routerFactory)
            throws IOException {
        this.routerFactory = routerFactory;
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.writer = new ActionWriter(out);
    }

    /** Processes batches until the end of the input. */
    public void run() throws IOException, InvalidInputException {
        long lineNumber = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            lineNumber++;
            try {
                process(JsonObject.parse(line));
            } catch (InvalidInputException e) {
                throw new InvalidInputException("line " + lineNumber + ": " + e.getMessage());
            }
        }
        if (batchOpen) {
            throw new InvalidInputException("line " + lineNumber + ": input ends within batch " + round);
        }
    }

    private void process(JsonObject message) throws IOException, InvalidInputException {
        String messageName = message.text("msg");
        if (messageName.equals("Sync")) {
            startBatch(message);
            return;
        }
        if (!batchOpen) {
            throw new InvalidInputException("'" + messageName + "' outside of a batch");
        }
        switch (messageName) {
            case "YourTurn" -> {
                batchOpen = false;
                writer.endReply(round, out);
            }
            case "List" -> memberLists.put(message.integer("sheet"), message.objects("nodes-list"));
            case "Born" -> startInstance(message);
            case "Shutdown" -> {
                instance(message);
                instances.remove((int) message.integer("router"));
            }
            default -> {
                Instance instance = instance(message);
                handle(instance, event(messageName, message, instance.settings()));
            }
        }
    }

    private void startBatch(JsonObject message) throws InvalidInputException {
        long nextClockMicros = message.integer("clock-us");
        long nextRound = message.integer("round");
        if (batchOpen) {
            throw new InvalidInputException("batch " + nextRound + " opens within batch " + round);
        }
        if (anyBatchStarted && (nextRound != round + 1 || nextClockMicros < clockMicros)) {
            throw new InvalidInputException("batch " + nextRound + " at " + nextClockMicros
                    + " is out of order after batch " + round + " at " + clockMicros);
        }
        clockMicros = nextClockMicros;
        round = nextRound;
        batchOpen = true;
        anyBatchStarted = true;
    }

    private void startInstance(JsonObject message) throws IOException, InvalidInputException {
        int number = (int) message.integer("router");
        SettingsReader settings = new SettingsReader(message.object("info"));
        long salt = message.integer("salt");
        try {
            instances.put(number, new Instance(number, settings, routerFactory.apply(settings.settings(), salt)));
        } catch (RuntimeException e) {
            writer.writeFault(number, describe(e));
        }
    }

    private Instance instance(JsonObject message) throws InvalidInputException {
        int number = (int) message.integer("router");
        Instance instance = instances.get(number);
        if (instance == null) {
            throw new InvalidInputException(
                    "'" + message.text("msg") + "' for router " + number + ", which is not running");
        }
        return instance;
    }

    private void handle(Instance instance, Event event) throws IOException {
        try {
            instance.router().handle(clockMicros, event, action -> {
                try {
                    writer.write(instance.number(), action);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        } catch (UncheckedIOException e) {
            throw e.getCause();
        } catch (RuntimeException e) {
            writer.writeFault(instance.number(), describe(e));
        }
    }

    /** Returns the exception's text and the place where it was thrown. */
    private static String describe(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        return e + (trace.length > 0 ? " at " + trace[0] : "");
    }

    private Event event(String messageName, JsonObject message, SettingsReader settings) throws InvalidInputException {
        return switch (messageName) {
            case "Fleet" -> memberListUpdate(message, settings);
            case "Arrival" ->
                new RequestArrived(
                        message.text("id"),
                        settings.requestClass(message.text("grade")),
                        message.text("asset", ""),
                        (int) message.integer("chunk", 0),
                        (int) message.integer("group", -1),
                        message.number("size-kb", 0),
                        message.integer("time-left-us"),
                        message.flag("again-by-client"));
            case "Opened" ->
                new AnswerStarted(
                        message.text("id"),
                        (int) message.integer("trial"),
                        message.integer("server"),
                        message.integer("lag-us"));
            case "Verdict" ->
                new AttemptEnded(
                        message.text("id"),
                        (int) message.integer("trial"),
                        message.integer("server"),
                        settings.outcome(message.integer("rc")),
                        message.integer("lag-us"),
                        message.flag("settled"),
                        fillResult(message),
                        message.integer("waited-us", 0),
                        message.objectOrEmpty("load").numbersByName());
            case "Lapsed" -> new RequestAbandoned(message.text("id"));
            case "Checked" ->
                new ProbeEnded(
                        message.integer("server"),
                        settings.outcome(message.integer("rc")),
                        message.integer("lag-us"),
                        message.objectOrEmpty("load").numbersByName());
            case "TickDue" -> new TimerDue(message.integer("cookie"));
            case "Invalidated" ->
                new Purged(
                        message.text("asset", null),
                        (int) message.integer("set-no", -1),
                        message.integer("how-old-us", 0));
            case "FromPeer" ->
                new PeerMessage((int) message.integer("origin-peer"), decodeBase64(message.text("bytes", "")));
            default -> throw new InvalidInputException("unknown message '" + messageName + "'");
        };
    }

    private MemberListUpdate memberListUpdate(JsonObject message, SettingsReader settings)
            throws InvalidInputException {
        MemberListKind kind = LIST_KINDS.get(message.text("mode"));
        if (kind == null) {
            throw new InvalidInputException("field 'mode' has the unknown value '" + message.text("mode") + "'");
        }
        List<Member> members = new ArrayList<>();
        if (kind != MemberListKind.FAILED) {
            List<JsonObject> entries = memberLists.get(message.integer("sheet"));
            if (entries == null) {
                throw new InvalidInputException("member list " + message.integer("sheet") + " was never sent");
            }
            for (JsonObject entry : entries) {
                members.add(settings.member(entry));
            }
        }
        return new MemberListUpdate(kind, message.integer("gen", 0), members);
    }

    /** Returns the result of a fill from its number on the wire; a number that is not known counts as no result. */
    private static FillResult fillResult(JsonObject message) throws InvalidInputException {
        long number = message.integer("info", 0);
        return number >= 0 && number < FILL_RESULTS.length ? FILL_RESULTS[(int) number] : FillResult.NONE;
    }

    private static byte[] decodeBase64(String text) throws InvalidInputException {
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("field 'bytes' is not base64");
        }
    }
}
