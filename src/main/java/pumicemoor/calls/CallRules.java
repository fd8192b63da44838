package pumicemoor.calls;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which class, object, part and group a call is about, by the operator's rules in their order. It matches in time
 * linear in the text, whatever the pattern (RE2), since paths are written by strangers. It must never guess: a
 * call that no rule fits gets what the file says.
 */
public final class CallRules {

    /** The longest object name, in characters. */
    public static final int LONGEST_OBJECT = 256;
    /** The most rules. */
    public static final int MOST_RULES = 1_000;

    private static final int LAST_GROUP = 255;

    /** What is done with a call that no rule fits: passed on untouched, or refused. */
    public enum NoRule {
        PASS,
        REFUSE
    }

    /**
     * One rule: the method (null for any), the path without its query, and the class. Named groups 'object',
     * 'part' and 'group' in the pattern take their texts from the path; without 'object' the path is the object.
     * Headers that must have a value, by lower-case name; and the header that names the group, or null.
     */
    public record Rule(
            String method, Pattern path, Map<String, String> headers, String requestClass, String groupHeader) {

        /** Checks the pattern; the exception's message says what is wrong with it. */
        public static Pattern pattern(String text) {
            try {
                return Pattern.compile(text);
            } catch (PatternSyntaxException e) {
                throw new IllegalArgumentException(e.getDescription() + ": " + e.getPattern(), e);
            }
        }
    }

    /** What a call is about. */
    public record About(String requestClass, String object, int part, int group) {}

    private final List<Rule> rules;
    private final NoRule noRule;

    public CallRules(List<Rule> rules, NoRule noRule) {
        this.rules = List.copyOf(rules);
        this.noRule = noRule;
    }

    public NoRule noRule() {
        return noRule;
    }

    /** The first rule that fits; empty where none does or where it yields no object that can be used. */
    public Optional<About> fit(String method, String path, Map<String, String> headers) {
        int query = path.indexOf('?');
        String plain = query < 0 ? path : path.substring(0, query);
        for (Rule rule : rules) {
            Matcher match = rule.path().matcher(plain);
            if ((rule.method() == null || rule.method().equals(method))
                    && match.matches()
                    && rule.headers().entrySet().stream()
                            .allMatch(h -> h.getValue().equals(headers.get(h.getKey())))) {
                return about(rule, match, plain, headers);
            }
        }
        return Optional.empty();
    }

    private static Optional<About> about(Rule rule, Matcher match, String path, Map<String, String> headers) {
        String object = group(rule, match, "object");
        object = object == null ? path : object;
        String part = group(rule, match, "part");
        String group = rule.groupHeader() == null ? group(rule, match, "group") : headers.get(rule.groupHeader());
        try {
            int partNumber = part == null ? 0 : Integer.parseInt(part);
            int groupNumber = group == null ? -1 : Integer.parseInt(group);
            return object.isEmpty()
                            || object.length() > LONGEST_OBJECT
                            || partNumber < 0
                            || groupNumber < -1
                            || groupNumber > LAST_GROUP
                    ? Optional.empty()
                    : Optional.of(new About(rule.requestClass(), object, partNumber, groupNumber));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static String group(Rule rule, Matcher match, String name) {
        return rule.path().namedGroups().containsKey(name) ? match.group(name) : null;
    }
}
