/**
 * Decides which member may fill from which while the hierarchy of caches, hubs and the origin changes: it owns
 * the shape, the pieces of news that change it, the links in use at each moment, and the order that keeps them
 * free of loops. It takes news and the time as arguments and changes only its own state; it must never do I/O,
 * read a clock, or pick the source of a request (Logic does, among what is given here).
 *
 * <p>Sources: online topological order after Pearce and Kelly, "A dynamic topological sort algorithm for
 * directed acyclic graphs" (ACM JEA 11, 2006); path marker after RFC 8586 (CDN-Loop); the ordinary path after
 * Coral. The ways weighed stand in docs/hierarchy-design.md.
 */
package pumicemoor.hierarchy;
