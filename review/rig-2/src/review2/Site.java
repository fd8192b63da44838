package review2;

/** The configuration of a router of a small wadi-depots: one depot, with the figures of the site's rules. */
final class Site {

    private Site() {}

    /** The configuration as JSON; the name and the address are put in by the router's start. */
    static String config(Coordinator coordinator, int me, int routers) {
        return """
            {"name":"@NAME@","listen":"@LISTEN@","seed":"8c1f30d27a5be9%02x",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
             "coordinator":"%s","known":%s,
             "settings":{"az":"depot-1","zones":["central","depot-1"],"kinds":["box-a","hub","store"],
              "me":%d,"siblings":%d,"family":"edge","discovery":"push","stage":0,"worth-by":"request",
              "classes":[
               {"name":"media-fetch","aim-us":400000,"aim-stretch":2.0,"deadline-us":6000000,"worth":2.0,
                "late-worth":0.15,"idempotency":"pure","group":"all","window-us":6000000,"streamed":false},
               {"name":"booking-write","aim-us":700000,"deadline-us":3000000,"worth":3.0,
                "late-worth":0.0,"idempotency":"side_effect","group":"all","window-us":3000000,"streamed":false}],
              "clients":{"marks-retry":true},
              "policy-limits":{"cancelling":true,"connect-timeout-us":400000,"keepalive-us":30000000,
               "max-open":20000,"max-retry-after-us":500000,"may-tell":false,"most-tries":8,"multiplex":100,
               "probing":false,"retry-after":true,"second-copies":false},
              "obligations":{"answer-slack-us":8000,"cold-from":0.19,"cold-us":15000000,"overload-for-us":2000000,
               "stop-sending-within-us":1000000,"tip-multiple":4.0},
              "specifics":{"can-join":true,"class-grace-us":[0,0],"class-parts":[true,false],
               "crew-by-zone":[0,%d],"good-for-us":[0,0],"never-kept":[false,true],"note-level":"hit",
               "notice-time-us":500000,"parent-fall-multiple":2.0,"parent-starts-at":0.062,"pass-through-ok":true,
               "purge-settles-us":6000000,"shield-kind":1,"sideways":"any","store-kind":2,"upper-cold-us":22000000,
               "worth-when-old":[1.0,1.0],"zone-hub":[0,0]},
              "telemetry":{"how":"none","columns":[]},"weights":"rough"}}
            """
                .formatted(me, coordinator.address(), coordinator.known(), me, routers, routers);
    }
}
