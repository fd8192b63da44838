package pumicemoor.node;

import pumicemoor.wire.InvalidInputException;
import pumicemoor.wire.JsonObject;

/**
 * Router configurations for tests: a location with caches, a parent and an origin, a cacheable class and one that is
 * not.
 */
public final class NodeTestConfig {

    private NodeTestConfig() {}

    /** Returns an entry of the coordinator's member list; the start time is in Unix milliseconds. */
    public static String member(String instance, String address, String kind, String lifecycle, long startedMillis) {
        return "{\"instanceId\":\"" + instance + "\",\"hostPort\":\"" + address + "\",\"zone\":\""
                + (kind.equals("box") ? "here" : "hub") + "\",\"machineType\":\"" + kind
                + "\",\"cell\":0,\"lifecycle\":\"" + lifecycle + "\",\"weight\":4,\"startedAtMs\":" + startedMillis
                + "}";
    }

    /** Returns a coordinator event with a member list; a snapshot, or only the changes. */
    public static String list(long index, boolean snapshot, String... members) {
        return "{\"index\":" + index + ",\"endpoints\":{\"generation\":" + index + ",\"reset\":" + snapshot
                + ",\"instances\":[" + String.join(",", members) + "]}}";
    }

    public static String json(String listen, String coordinator, String... updates) {
        return json(listen, coordinator, 1_000, updates);
    }

    /** Returns a complete configuration with these initial updates. */
    public static String json(String listen, String coordinator, int maxOpen, String... updates) {
        return """
                {"name":"n0","listen":"%s","seed":"8c1f30d27a5be964","unknown":1,
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"coordinator":"%s",
                 "known":{"index":%d,"updates":[%s]},
                 "settings":{"az":"here","zones":["here","hub"],"kinds":["box","shield","store"],"me":0,"siblings":1,
                  "classes":[
                   {"name":"segment","aim-us":400000,"aim-stretch":2.0,"deadline-us":3000000,"worth":2,
                    "late-worth":0.15,"idempotency":"pure"},
                   {"name":"order","aim-us":700000,"deadline-us":2000000,"worth":3,"idempotency":"side_effect"}],
                  "policy-limits":{"most-tries":8,"max-open":%d,"probing":false,"may-tell":false,"cancelling":true,
                   "second-copies":false,"retry-after":true,"max-retry-after-us":500000,
                   "connect-timeout-us":400000,"keepalive-us":30000000,"multiplex":100},
                  "obligations":{"answer-slack-us":8000,"stop-sending-within-us":1000000,"cold-from":0.2,
                   "cold-us":10000000,"tip-multiple":4,"overload-for-us":2000000},
                  "specifics":{"pass-through-ok":true,"can-join":true,"sideways":"any","note-level":"hit",
                   "shield-kind":1,"store-kind":2,"never-kept":[false,true],"class-parts":[true,false],
                   "good-for-us":[0,0],"class-grace-us":[0,0],"worth-when-old":[0.7,0.7],
                   "notice-time-us":500000,"purge-settles-us":6000000,"parent-starts-at":0.1,
                   "upper-cold-us":20000000,"parent-fall-multiple":2},
                  "telemetry":{"how":"answers","columns":["busy_reqs"]},"weights":"rough"}}
                """
                .formatted(listen, coordinator, updates.length, String.join(",", updates), maxOpen);
    }

    public static NodeConfig parse(String json) throws InvalidInputException {
        return NodeConfig.parse(json);
    }

    static JsonObject message(String json) throws InvalidInputException {
        return JsonObject.parse(json);
    }
}
