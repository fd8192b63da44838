package pumicemoor.fleet.drains;

/** What an operator asked for: how many may be out at once, how many of each tier must serve. */
public record DrainRequest(long id, int slot, int mostOut, int leastServing) {}
