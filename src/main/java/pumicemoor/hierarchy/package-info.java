/**
 * Decides which member may fill from which while the hierarchy of caches, hubs and the origin changes. Owns
 * the topology, the updates that change it, the links in use at each moment, and the topological order that keeps
 * them free of loops. Takes updates and the time as arguments and changes only its own state. Must not do I/O,
 * read a clock, or choose the source of a request (Logic chooses among the sources that this package offers).
 *
 * <p>Sources: online topological order after Pearce and Kelly, "A dynamic topological sort algorithm for
 * directed acyclic graphs" (ACM JEA 11, 2006); path marker after RFC 8586 (CDN-Loop); the ordinary path after
 * Coral. docs/hierarchy-design.md compares the alternatives that were considered.
 */
package pumicemoor.hierarchy;
