package pumicemoor.fleet;

/** Thrown when a received packet is rejected. The reason in lower case names the counter of dropped packets. */
public final class BadPacketException extends Exception {

    private static final long serialVersionUID = 1;

    enum Reason {
        UNREADABLE,
        FOREIGN,
        IMPOSSIBLE
    }

    final transient Reason reason;

    BadPacketException(Reason reason) {
        super(reason.name(), null, false, false); // no stack trace: rejecting a bad packet must be cheap
        this.reason = reason;
    }
}
