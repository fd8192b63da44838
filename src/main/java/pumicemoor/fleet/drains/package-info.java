/**
 * Decides in which order members are drained for maintenance, for the whole fleet: there is one drain plan, written by
 * the leader alone and in force only once more than half of the routers hold it. Takes reports, the time and the known
 * state of members, and computes the next plan. Must not send packets, read a clock or choose a member for a request.
 * docs/fleet-design.md describes the protocol, its bounds and their sources.
 */
package pumicemoor.fleet.drains;
