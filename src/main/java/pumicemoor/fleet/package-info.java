/**
 * Decides what the routers of a fleet know of each other and hold together: who lives, what part of a limit each may
 * spend, which member none of them should use. It takes packets and the time and gives packets, changes and rows to
 * show; it must never open a socket, read a clock or pick a member for a request. The protocol, its bounds and the
 * sources they come from stand in docs/fleet-design.md.
 */
package pumicemoor.fleet;
