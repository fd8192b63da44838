/**
 * Clients of a router: it owns the client's side of the frames that routers answer. It must never be part of a
 * router, nor know how one works.
 */
package pumicemoor.client;
