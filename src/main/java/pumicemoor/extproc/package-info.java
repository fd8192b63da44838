/**
 * The gRPC services that other proxies call for each request, on the transport of the gRPC library. This package owns
 * listeners, streams and the encoding of messages. It must never decide: package calls decides which messages a stream
 * may carry, the decision module decides what happens to a request. Its interfaces are Envoy's external processing API
 * (envoy.service.ext_proc.v3) and the project's own service pumicemoor.v1.Decisions.
 */
package pumicemoor.extproc;
