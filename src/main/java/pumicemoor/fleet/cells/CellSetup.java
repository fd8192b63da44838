package pumicemoor.fleet.cells;

/**
 * A router's settings for a fleet of cells: the root (a zone or a group of sites) whose routers share a cell until it
 * is split, the largest number of routers in a cell, and the number of delegates of each cell on the upper level.
 */
public record CellSetup(String root, int maxRouters, int delegates) {}
