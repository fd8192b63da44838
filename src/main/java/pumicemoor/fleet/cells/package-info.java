/**
 * Decides which routers of a large fleet speak with which: each with those of its own cell, a few delegates of each cell
 * with one another; and how limits and verdicts pass between the two levels (docs/fleet-design.md, "Cells"). It must
 * never do I/O, read a clock or decide about a request.
 */
package pumicemoor.fleet.cells;
