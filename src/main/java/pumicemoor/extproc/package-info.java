/**
 * The front to which other proxies call for each request: gRPC services on the library's own transport. It owns
 * listeners, streams and the wording of messages; it must never decide: what a stream may say is for package
 * calls, what a request gets is for the decisions. Sources: Envoy's external processing API
 * (envoy.service.ext_proc.v3) and the project's own pumicemoor.v1.Decisions.
 */
package pumicemoor.extproc;
