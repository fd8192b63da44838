package pumicemoor.fleet.drains;

/**
 * An open drain request of an operator.
 *
 * @param slot the bit of this request in the masks of drain orders
 * @param maxOut how many members may be out at the same time
 * @param minServing how many members of each tier must keep serving
 */
public record DrainRequest(long id, int slot, int maxOut, int minServing) {}
