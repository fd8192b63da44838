package pumicemoor.wire;

/** Thrown when a message or a configuration is invalid; the exception's text says what and where in one line. */
public final class InvalidInputException extends Exception {

    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message);
    }
}
