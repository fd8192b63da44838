package pumicemoor.fleet;

import java.util.Map;

/** A change to be logged for operators: one line of text and the same facts as named fields. */
public record LogEvent(String text, Map<String, Object> fields) {}
