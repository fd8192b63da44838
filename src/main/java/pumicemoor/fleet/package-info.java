/**
 * Decides the state that the routers of a fleet share: which routers are alive, how much of each limit a router may
 * use, and which members none of them should use. Takes packets and the time as input and produces packets, events and
 * status rows. It must never open a socket, read a clock or choose a member for a request. The protocol, its bounds and
 * their sources are described in docs/fleet-design.md.
 */
package pumicemoor.fleet;
