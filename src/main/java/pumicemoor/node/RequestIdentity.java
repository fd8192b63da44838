package pumicemoor.node;

/**
 * What tells whether a client's request may be refused: its id, its class and whether the client marks it as a retry.
 * The id and the class are null if they could not be read.
 */
public record RequestIdentity(String clientRequestId, String requestClass, boolean clientRetry) {

    /** The identity of a request of which nothing could be read. */
    public static final RequestIdentity UNKNOWN = new RequestIdentity(null, null, true);

    public static RequestIdentity of(Input.Request request) {
        return new RequestIdentity(request.clientRequestId(), request.requestClass(), request.clientRetry());
    }
}
