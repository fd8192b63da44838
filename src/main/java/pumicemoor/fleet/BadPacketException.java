package pumicemoor.fleet;

/** A packet that is not used; the reason is the name it is counted under. */
public final class BadPacketException extends Exception {

    private static final long serialVersionUID = 1;

    enum Reason {
        UNREADABLE,
        FOREIGN,
        IMPOSSIBLE
    }

    final transient Reason reason;

    BadPacketException(Reason reason) {
        super(reason.name(), null, false, false); // bad packets must be cheap: no trace
        this.reason = reason;
    }
}
