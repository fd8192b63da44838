package pumicemoor.operator;

/** Thrown when an operator's file cannot be used; the message is one line that names file, line and key. */
public final class OperatorException extends Exception {

    private static final long serialVersionUID = 1;

    OperatorException(String message) {
        super(message);
    }
}
