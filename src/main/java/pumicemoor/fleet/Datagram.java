package pumicemoor.fleet;

/** A packet that is to be sent. */
public record Datagram(String address, byte[] bytes) {}
