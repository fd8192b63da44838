package pumicemoor.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import pumicemoor.node.Input;

/**
 * The inputs that wait for the loop: first what the coordinator has told, then who has left, then all that may be
 * decided by either, in the order in which it came. Requests can be held back while the rest goes on.
 */
final class Inbox {

    private final Deque<Input> news = new ArrayDeque<>();
    private final Deque<Input> departures = new ArrayDeque<>();
    private final Deque<Input> others = new ArrayDeque<>();
    private final Deque<Input.Request> held = new ArrayDeque<>();
    private boolean holding;

    void add(Input input) {
        if (input instanceof Input.CoordinatorUpdate || input instanceof Input.CoordinatorHeartbeat) {
            news.add(input);
        } else {
            others.add(input);
        }
    }

    /** A client waits no more: gives back how many of its requests never went out of here. */
    int leave(Input how, Predicate<Input.Request> whose) {
        departures.add(how);
        Predicate<Input> its = input -> input instanceof Input.Request request && whose.test(request);
        int before = others.size() + held.size();
        others.stream().filter(its).forEach(Inbox::release);
        held.stream().filter(its).forEach(Inbox::release);
        others.removeIf(its);
        held.removeIf(its);
        return before - others.size() - held.size();
    }

    private static void release(Input request) {
        ((Input.Request) request).body().release();
    }

    /** Nobody knows how long each request has lain unread: as long as the loop was held up, at most. */
    void requestsUnreadFor(long micros) {
        for (int i = others.size(); i > 0; i--) {
            Input input = others.poll();
            others.add(input instanceof Input.Request request ? request.withUnreadDelay(micros) : input);
        }
    }

    /** From now on requests stay here. */
    void holdRequests() {
        holding = true;
    }

    boolean holdsRequests() {
        return holding;
    }

    /** Requests go on, those held first; they have waited here for so long at most. */
    void releaseRequests(long micros) {
        holding = false;
        while (!held.isEmpty()) {
            others.addFirst(held.pollLast().withUnreadDelay(micros));
        }
    }

    /** What the coordinator has told, else who has left; null where there is neither. */
    Input nextUrgent() {
        return news.isEmpty() ? departures.poll() : news.poll();
    }

    /** The next of the rest that is not held back; null where there is none. */
    Input nextOther() {
        Input input = others.poll();
        while (holding && input instanceof Input.Request request) {
            held.add(request);
            input = others.poll();
        }
        return input;
    }
}
