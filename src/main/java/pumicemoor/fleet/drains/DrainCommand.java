package pumicemoor.fleet.drains;

import java.util.List;

/**
 * An operator's command, given to the fleet through one of its routers.
 *
 * @param id unique for each command, so that a repeated command is recognized
 * @param maxOut how many members may be out at the same time
 * @param minServing how many members of each tier must keep serving
 * @param fence the fence of the phase that the command refers to; 0 if it refers to none
 */
public record DrainCommand(Kind kind, long id, int maxOut, int minServing, long fence, List<Long> members) {

    /** REQUEST drains members, DONE ends the work on one member, CANCEL removes the members that are not out yet. */
    public enum Kind {
        REQUEST,
        DONE,
        CANCEL
    }
}
