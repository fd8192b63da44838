package pumicemoor.operator;

/**
 * Thrown when an operator's file cannot be used. The message is one line, which names the file and, where the error is
 * in its text, the line and the key.
 */
public final class OperatorException extends Exception {

    private static final long serialVersionUID = 1;

    OperatorException(String message) {
        super(message);
    }
}
