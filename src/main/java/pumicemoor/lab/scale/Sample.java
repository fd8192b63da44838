package pumicemoor.lab.scale;

import java.util.Map;

/**
 * The measured cost of one role at one size. The role is a short name such as "grantor" or "member, calm". The size is
 * the number of routers or, if the role's name says so, of other things that its cost grows with, for instance members.
 * The figures are keyed by name, and each name states its unit: "bytes out/s", "bytes in/s", "packets out/s",
 * "packets in/s", "cpu ms/s", "heap bytes".
 */
public record Sample(String role, int size, Map<String, Double> figures) {}
