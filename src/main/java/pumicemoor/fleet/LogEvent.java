package pumicemoor.fleet;

import java.util.Map;

/** A change that a person may want to know of, as one line and its figures by name. */
public record LogEvent(String text, Map<String, Object> fields) {}
