package pumicemoor.calls;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Maps the method, path and headers of a call to a request class, object, part and group. The first matching rule of
 * the operator's file applies. RE2 matches the patterns in time linear in the text, since paths come from untrusted
 * peers. It must never guess: a call that no rule matches is handled as the operator's file says.
 */
public final class CallRules {

    /** The maximum length of an object name, in characters. */
    public static final int MAX_OBJECT_LENGTH = 256;
    /** The maximum number of rules. */
    public static final int MAX_RULES = 1_000;

    private static final int MAX_GROUP = 255;

    /** What happens to a call that no rule matches: it is passed through unchanged, or refused. */
    public enum NoRule {
        PASS,
        REFUSE
    }

    /**
     * A rule matches a call by its method (null for any), by its path without the query, and by headers (keyed by
     * lower-case name) that must have the given values. The named groups 'object', 'part' and 'group' of the pattern
     * extract these values from the path; without 'object' the whole path is the object. If groupHeader is not null,
     * the group comes from that header instead.
     */
    public record Rule(
            String method, Pattern path, Map<String, String> headers, String requestClass, String groupHeader) {

        /** Compiles a pattern; the exception's message describes the syntax error. */
        public static Pattern pattern(String text) {
            try {
                return Pattern.compile(text);
            } catch (PatternSyntaxException e) {
                throw new IllegalArgumentException(e.getDescription() + ": " + e.getPattern(), e);
            }
        }
    }

    /** The request class, object, part and group of a call; group -1 means none. */
    public record RequestAttributes(String requestClass, String object, int part, int group) {}

    private final List<Rule> rules;
    private final NoRule noRule;

    public CallRules(List<Rule> rules, NoRule noRule) {
        this.rules = List.copyOf(rules);
        this.noRule = noRule;
    }

    public NoRule noRule() {
        return noRule;
    }

    /**
     * Applies the first rule that matches. Returns empty if none matches, or if the matching one yields an object, part
     * or group that is out of range.
     */
    public Optional<RequestAttributes> match(String method, String path, Map<String, String> headers) {
        int query = path.indexOf('?');
        String pathWithoutQuery = query < 0 ? path : path.substring(0, query);
        for (Rule rule : rules) {
            Matcher matcher = rule.path().matcher(pathWithoutQuery);
            if ((rule.method() == null || rule.method().equals(method))
                    && matcher.matches()
                    && rule.headers().entrySet().stream()
                            .allMatch(h -> h.getValue().equals(headers.get(h.getKey())))) {
                return attributes(rule, matcher, pathWithoutQuery, headers);
            }
        }
        return Optional.empty();
    }

    private static Optional<RequestAttributes> attributes(
            Rule rule, Matcher matcher, String pathWithoutQuery, Map<String, String> headers) {
        String object = namedGroup(rule, matcher, "object");
        object = object == null ? pathWithoutQuery : object;
        String part = namedGroup(rule, matcher, "part");
        String group =
                rule.groupHeader() == null ? namedGroup(rule, matcher, "group") : headers.get(rule.groupHeader());
        try {
            int partNumber = part == null ? 0 : Integer.parseInt(part);
            int groupNumber = group == null ? -1 : Integer.parseInt(group);
            return object.isEmpty()
                            || object.length() > MAX_OBJECT_LENGTH
                            || partNumber < 0
                            || groupNumber < -1
                            || groupNumber > MAX_GROUP
                    ? Optional.empty()
                    : Optional.of(new RequestAttributes(rule.requestClass(), object, partNumber, groupNumber));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static String namedGroup(Rule rule, Matcher matcher, String name) {
        return rule.path().namedGroups().containsKey(name) ? matcher.group(name) : null;
    }
}
