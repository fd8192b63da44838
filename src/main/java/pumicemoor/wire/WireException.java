package pumicemoor.wire;

/** Thrown when a message or a configuration is invalid; the exception's message is one line that says what and where. */
public final class WireException extends Exception {

    private static final long serialVersionUID = 1L;

    public WireException(String message) {
        super(message);
    }
}
