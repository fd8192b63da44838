/**
 * Test doubles ("stand-ins") for every peer of a router (caches, hubs, the origin, the coordinator and clients) and
 * scenarios that run them on loopback against the real program. Each stand-in logs what it receives; reports are
 * computed from these logs alone. The serving path must never load this package, and it must not send past loopback.
 */
package pumicemoor.lab;
