package pumicemoor.hierarchy;

import java.util.Map;

/** A log entry for operators: a message and its named values. */
public record LogEvent(String text, Map<String, Object> fields) {}
