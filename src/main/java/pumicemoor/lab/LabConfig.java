package pumicemoor.lab;

import java.util.List;

/**
 * Builds the configuration that the platform provides to a router, as JSON. The events that the router knows at its
 * start are passed by the caller.
 */
final class LabConfig {

    private LabConfig() {}

    static String json(int index, String listen, Scenario scenario, String coordinator, List<String> knownEvents) {
        return json("router-" + index, index, listen, scenario, coordinator, knownEvents);
    }

    static String json(
            String name, int index, String listen, Scenario scenario, String coordinator, List<String> knownEvents) {
        long coldMicros = scenario.change().slowStartMillis() * 1_000L;
        return """
                {"name":"%s","listen":"%s","seed":"%x","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "coordinator":"%s","known":{"index":%d,"updates":[%s]},
                 "settings":{"az":"home","zones":["home","hub"],"kinds":["cache","hub","origin"],"me":%d,"siblings":%d,
                  "classes":[{"name":"file","aim-us":400000,"aim-stretch":2.0,"deadline-us":%d,"worth":2,
                    "late-worth":0.2,"idempotency":"pure"},
                   {"name":"booking","aim-us":400000,"deadline-us":%d,"worth":3,"idempotency":"side_effect"}],
                  "policy-limits":{"most-tries":6,"max-open":20000,"probing":false,"may-tell":false,"cancelling":true,
                   "second-copies":false,"retry-after":true,"max-retry-after-us":500000,
                   "connect-timeout-us":300000,"keepalive-us":30000000,"multiplex":100},
                  "obligations":{"answer-slack-us":8000,"stop-sending-within-us":1000000,"cold-from":0.2,
                   "cold-us":%d,"tip-multiple":4,"overload-for-us":1000000},
                  "specifics":{"pass-through-ok":true,"can-join":true,"sideways":"location","note-level":"all",
                   "shield-kind":1,"store-kind":2,"never-kept":[false,true],"class-parts":[false,false],
                   "good-for-us":[0,0],"class-grace-us":[0,0],"worth-when-old":[0.5,0.5],"crew-by-zone":[%d,0],
                   "notice-time-us":500000,"purge-settles-us":2000000,"parent-starts-at":0.1,
                   "upper-cold-us":%d,"parent-fall-multiple":2},
                  "telemetry":{"how":"none","columns":[]},"weights":"rough"}}
                """
                .formatted(
                        name,
                        listen,
                        scenario.seed() + index,
                        coordinator,
                        knownEvents.size(),
                        String.join(",", knownEvents),
                        index,
                        scenario.routers(),
                        scenario.deadlineMillis() * 1_000L,
                        scenario.deadlineMillis() * 1_000L,
                        coldMicros,
                        scenario.routers(),
                        coldMicros);
    }
}
