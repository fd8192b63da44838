package pumicemoor.wire;

/** Input that no wire or configuration allows; the message says what and where, in one line. */
public final class WireException extends Exception {

    private static final long serialVersionUID = 1L;

    public WireException(String message) {
        super(message);
    }
}
