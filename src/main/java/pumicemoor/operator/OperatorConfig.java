package pumicemoor.operator;

import java.util.Optional;

/** What an operator has set; a section that is absent leaves its part of the program off. */
public record OperatorConfig(Optional<HierarchySection> hierarchy) {

    /** Nothing set: all as the platform has it. */
    public static final OperatorConfig NONE = new OperatorConfig(Optional.empty());
}
