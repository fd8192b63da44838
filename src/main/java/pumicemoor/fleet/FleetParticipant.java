package pumicemoor.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.fleet.drains.Drains;

/**
 * One router's participation in a fleet, as the surrounding program uses it. The program passes in the time, received
 * packets, the list of members and reports of the routing decisions, and fetches packets to send, events for the
 * routing decisions and log events. Times are Unix microseconds. An implementation must never send packets itself, read
 * a clock or use its own source of randomness.
 */
public interface FleetParticipant {

    /** Handles a received datagram. Bytes that are not a valid packet of this fleet are counted and dropped. */
    void receive(long time, byte[] bytes);

    /** Replaces the list of members, keyed by member id. */
    void updateMembers(long time, Map<Long, Fleet.ListedMember> members);

    /** Records the current demand of the routing decisions on a limit share. */
    void reportDemand(LimitDemand demand);

    /** Records the health of a member as the routing decisions see it now. */
    void reportHealth(long time, MemberHealthReport report);

    /** Announces that this router leaves the fleet gracefully. */
    void leave(long time);

    /** The latest time at which {@link #advance} must be called next. */
    long nextDue();

    /** Advances to this time and runs the timers that are due. */
    void advance(long time);

    /** The fleet size that shares and majorities are computed from. */
    int routers();

    /** The drain state that the routing decisions must follow, if it has changed since the last call. */
    Optional<Drains.View> takeDrainView();

    /**
     * Whether members may be used: false until it is known which of them are, or may have been, taken out by a drain.
     */
    boolean membersUsable();

    /** Whether this fleet coordinates the drains of its members. */
    boolean coordinatesDrains();

    /** Handles an operator's drain command and returns its result as one line. */
    String handleCommand(long time, Map<String, String> fields);

    /** Returns and removes the packets to be sent. */
    List<Datagram> takePackets();

    /** Returns and removes the events for the routing decisions. */
    List<Event> takeEvents();

    /** Returns and removes the events to be logged. */
    List<LogEvent> takeLogEvents();

    /** Counters and a summary of the state, by name. */
    Map<String, String> fields();

    /** The rows of a status table, for operators and tools; empty if there is no table of that name. */
    Optional<List<Map<String, Object>>> rows(String table);
}
