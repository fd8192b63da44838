package pumicemoor.fleet.drains;

import java.util.List;

/**
 * What an operator tells the fleet through one of its routers: to take members out, that the work on one is done, or to
 * leave alone those that are not out yet. The id is new with each command, so that a repeat is known as one; the fence is
 * that of the phase which the command is about, 0 where it is about none.
 */
public record DrainCommand(Kind kind, long id, int mostOut, int leastServing, long fence, List<Long> members) {

    /** What is wanted. */
    public enum Kind {
        REQUEST,
        DONE,
        CANCEL
    }
}
