package pumicemoor.operator;

import java.util.Optional;

/** The configuration that an operator's file gives; a feature whose section is absent is off. */
public record OperatorConfig(
        LogFormat log,
        Optional<HierarchySection> hierarchy,
        Optional<ProcessorSection> processor,
        Optional<FleetSection> fleet) {

    /** The format of log lines: plain text, as on the platform, or one JSON object a line. */
    public enum LogFormat {
        TEXT,
        JSON
    }

    /** The configuration without an operator's file: text logs, all optional features off. */
    public static final OperatorConfig NONE =
            new OperatorConfig(LogFormat.TEXT, Optional.empty(), Optional.empty(), Optional.empty());
}
