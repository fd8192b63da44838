/**
 * A client of a router for tools and tests. The package owns the client's side of the frame protocol. It must not be
 * used by the router itself, nor depend on the router's implementation.
 */
package pumicemoor.client;
