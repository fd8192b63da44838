package pumicemoor.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import java.util.stream.Stream;
import pumicemoor.node.Input;

/**
 * The queue of inputs for the event loop: coordinator updates come first, then cancellations, then all other inputs,
 * whose processing may depend on both, in order of arrival. Requests can be held back while other inputs are processed.
 */
final class Inbox {

    private final Deque<Input> updates = new ArrayDeque<>();
    private final Deque<Input> cancellations = new ArrayDeque<>();
    private final Deque<Input> others = new ArrayDeque<>();
    private final Deque<Input.Request> heldRequests = new ArrayDeque<>();
    private boolean holding;

    void add(Input input) {
        if (input instanceof Input.CoordinatorUpdate || input instanceof Input.CoordinatorHeartbeat) {
            updates.add(input);
        } else {
            others.add(input);
        }
    }

    /** Queues a cancellation and removes the queued requests that it applies to; returns their number. */
    int cancel(Input cancellation, Predicate<Input.Request> selected) {
        cancellations.add(cancellation);
        Predicate<Input> matching = input -> input instanceof Input.Request request && selected.test(request);
        int queuedBefore = others.size() + heldRequests.size();
        others.stream().filter(matching).forEach(Inbox::release);
        heldRequests.stream().filter(matching).forEach(Inbox::release);
        others.removeIf(matching);
        heldRequests.removeIf(matching);
        return queuedBefore - others.size() - heldRequests.size();
    }

    /** Whether a request with this id is queued; the id may be null. */
    boolean containsRequest(String clientRequestId) {
        return Stream.concat(others.stream(), heldRequests.stream())
                .anyMatch(input -> input instanceof Input.Request request
                        && request.clientRequestId().equalsIgnoreCase(clientRequestId));
    }

    private static void release(Input request) {
        ((Input.Request) request).body().release();
    }

    /** Adds an unread delay to the queued requests: each may have waited unread for as long as the loop was stalled. */
    void addUnreadDelay(long micros) {
        for (int remaining = others.size(); remaining > 0; remaining--) {
            Input input = others.poll();
            others.add(input instanceof Input.Request request ? request.withUnreadDelay(micros) : input);
        }
    }

    /** Holds back requests from now on. */
    void holdRequests() {
        holding = true;
    }

    boolean holdsRequests() {
        return holding;
    }

    /** Releases the held requests, ahead of other inputs; each has waited here for at most this many microseconds. */
    void releaseRequests(long micros) {
        holding = false;
        while (!heldRequests.isEmpty()) {
            others.addFirst(heldRequests.pollLast().withUnreadDelay(micros));
        }
    }

    /** The next coordinator update, else the next cancellation; null if there is neither. */
    Input nextUrgent() {
        return updates.isEmpty() ? cancellations.poll() : updates.poll();
    }

    /** The next other input that is not held back; null if there is none. */
    Input nextOther() {
        Input input = others.poll();
        while (holding && input instanceof Input.Request request) {
            heldRequests.add(request);
            input = others.poll();
        }
        return input;
    }
}
