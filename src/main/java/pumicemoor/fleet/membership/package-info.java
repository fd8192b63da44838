/**
 * Decides which routers live, by a protocol of the SWIM kind (Das, Gupta, Motivala 2002): probes, probes through
 * others, suspicion that the suspect may refute by a higher incarnation, news carried by every packet. It must never
 * judge a cache, a parent or the origin.
 */
package pumicemoor.fleet.membership;
