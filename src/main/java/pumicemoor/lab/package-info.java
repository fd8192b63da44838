/**
 * Stand-ins for all that a router talks to, and scenarios that play them on loopback against the real program:
 * caches, hubs, the origin, the coordinator, clients. Each keeps a record of its own of what reached it; reports
 * are made from those records alone. It must never be loaded by serving, nor reach past loopback.
 */
package pumicemoor.lab;
