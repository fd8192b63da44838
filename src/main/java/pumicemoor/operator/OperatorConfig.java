package pumicemoor.operator;

import java.util.Optional;

/** What an operator has set; a section that is absent leaves its part of the program off. */
public record OperatorConfig(
        LogFormat log,
        Optional<HierarchySection> hierarchy,
        Optional<ProcessorSection> processor,
        Optional<FleetSection> fleet) {

    /** Lines for people, as on the platform, or one JSON object a line. */
    public enum LogFormat {
        TEXT,
        JSON
    }

    /** Nothing set: all as the platform has it. */
    public static final OperatorConfig NONE =
            new OperatorConfig(LogFormat.TEXT, Optional.empty(), Optional.empty(), Optional.empty());
}
