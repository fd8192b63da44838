package pumicemoor.operator;

/** An operator's file that cannot be used; the message is one line with file, line and key. */
public final class OperatorException extends Exception {

    private static final long serialVersionUID = 1;

    OperatorException(String message) {
        super(message);
    }
}
