/**
 * Decides which routers of a large fleet exchange packets: each router with those of its own cell, and a few delegates
 * of each cell with one another; and how limits and ejections pass between these two levels (docs/fleet-design.md,
 * "Cells"). It must never do I/O, read a clock or decide about a request.
 */
package pumicemoor.fleet.cells;
