package pumicemoor.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.fleet.drains.Drains;

/**
 * One router's part in a fleet, as the program sees it: time, packets, the list of members and what the decisions tell
 * go in; packets, events for the decisions and lines for people are fetched. Times are Unix microseconds. It must never
 * send, read a clock or draw randomness of its own.
 */
public interface FleetParticipant {

    /** Takes a packet, whatever it is. */
    void receive(long time, byte[] bytes);

    /** The members as they are listed now, by their number. */
    void updateMembers(long time, Map<Long, Fleet.Listed> listed);

    /** What the decisions wanted of an allowance. */
    void reportDemand(LimitDemand wanted);

    /** What the decisions hold of a member now. */
    void reportHealth(long time, MemberHealthReport judged);

    /** Ends this router's part in good order. */
    void leave(long time);

    /** When it has to live on at the latest. */
    long nextDue();

    /** Lives on to this time. */
    void advance(long time);

    /** How many routers the fleet is taken for. */
    int routers();

    /** What the decisions are to go by where members are taken out in order; empty where that is as before. */
    Optional<Drains.View> takeDrainView();

    /** Whether members may be used: not before it is known which are out, or could have been. */
    boolean membersUsable();

    /** Whether members are taken out in order. */
    boolean coordinatesDrains();

    /** Takes an operator's command and says what becomes of it, in one line. */
    String handleCommand(long time, Map<String, String> fields);

    /** The packets to be sent, each given out once. */
    List<Datagram> takePackets();

    /** What the decisions are to be told, each given out once. */
    List<Event> takeEvents();

    /** What people may want to know, each given out once. */
    List<LogEvent> takeLogEvents();

    /** Counters and the state in short, by name. */
    Map<String, String> fields();

    /** Rows for people and programs about one subject; empty where there is none of that name. */
    Optional<List<Map<String, Object>>> rows(String subject);
}
