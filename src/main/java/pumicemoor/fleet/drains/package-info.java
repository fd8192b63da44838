/**
 * Decides in which order members are taken out for work, for the whole fleet: one plan, written by the keeper alone and
 * in force only once more than half of the routers hold it. It takes reports, the time and what is known of members, and
 * gives the next plan; it must never send, read a clock or pick a member for a request. The protocol, its bounds and the
 * sources they come from stand in docs/fleet-design.md.
 */
package pumicemoor.fleet.drains;
