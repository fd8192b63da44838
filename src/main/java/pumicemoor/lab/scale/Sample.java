package pumicemoor.lab.scale;

import java.util.Map;

/**
 * What one role cost at one size. Role is a short name such as "grantor" or "member, calm"; size is the number of
 * routers, or of members where the role grows with those (its name says so). Figures by name, the unit in the name:
 * "bytes out/s", "bytes in/s", "packets out/s", "packets in/s", "cpu ms/s", "heap bytes".
 */
public record Sample(String role, int size, Map<String, Double> figures) {}
