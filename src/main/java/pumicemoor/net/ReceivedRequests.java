package pumicemoor.net;

import java.util.LinkedHashMap;
import java.util.Map;
import pumicemoor.node.Input;
import pumicemoor.node.RequestIdentity;

/**
 * The requests of one client connection that have been received and not submitted yet, since more input of the client
 * may be waiting. It owns their bodies, and must never decide when they are submitted.
 */
final class ReceivedRequests {

    private final Loop loop;
    private final Map<Integer, Input.Request> requests = new LinkedHashMap<>(); // by stream
    private long receivedSince; // when the oldest of them was received

    ReceivedRequests(Loop loop) {
        this.loop = loop;
    }

    void add(Input.Request request) {
        receivedSince = requests.isEmpty() ? loop.clock() : receivedSince;
        requests.put(request.stream(), request);
    }

    /** Removes the request on a stream, which its client has cancelled; returns false if there is none. */
    boolean cancel(int stream) {
        Input.Request request = requests.remove(stream);
        if (request == null) {
            return false;
        }
        request.body().release();
        return true;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Whether one of the requests has this id; the id may be null. */
    boolean containsId(String clientRequestId) {
        return requests.values().stream().anyMatch(r -> r.clientRequestId().equalsIgnoreCase(clientRequestId));
    }

    /** The time (microseconds) for which the oldest request has been held; 0 if there is none. */
    long heldMicros() {
        return requests.isEmpty() ? 0 : loop.clock() - receivedSince;
    }

    /** Submits all requests, with the time for which they were held. */
    void submit() {
        long heldMicros = heldMicros();
        while (!requests.isEmpty()) { // one by one: processing one may reveal that the next was cancelled
            Input.Request request = requests.remove(requests.keySet().iterator().next());
            loop.submit(heldMicros == 0 ? request : request.withUnreadDelay(heldMicros));
        }
    }

    /** Removes all requests and returns their identities by stream. */
    Map<Integer, RequestIdentity> removeAll() {
        Map<Integer, RequestIdentity> identities = new LinkedHashMap<>();
        requests.forEach((stream, request) -> {
            identities.put(stream, RequestIdentity.of(request));
            request.body().release();
        });
        requests.clear();
        return identities;
    }
}
