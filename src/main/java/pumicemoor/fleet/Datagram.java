package pumicemoor.fleet;

/** An encoded packet and the address ("host:port") that it is to be sent to. */
public record Datagram(String address, byte[] bytes) {}
