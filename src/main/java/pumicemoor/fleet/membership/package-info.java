/**
 * Decides which routers are alive, by a protocol of the SWIM family (Das, Gupta, Motivala 2002): direct probes,
 * indirect probes through other routers, suspicion that the suspect can refute with a higher incarnation, and
 * membership updates piggybacked on every packet. It must never judge the health of a cache, a parent or the origin.
 */
package pumicemoor.fleet.membership;
