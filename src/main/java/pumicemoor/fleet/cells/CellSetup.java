package pumicemoor.fleet.cells;

/**
 * How a router stands in a fleet of cells: the root (a zone or some sites) whose routers share a cell, how many routers
 * a cell has before it is split, and how many of each cell hold the level above.
 */
public record CellSetup(String root, int most, int delegates) {}
