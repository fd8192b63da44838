package pumicemoor.hierarchy;

import java.util.Map;

/** Something that operators should read in the log: a text, and its figures by name. */
public record LogEvent(String text, Map<String, Object> fields) {}
