package pumicemoor.wire;

/** Input that the simulator's wire does not allow; the message says what and where, in one line. */
public final class WireException extends Exception {

    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
