package pumicemoor.operator;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** On which line each key of a YAML text stands, by its path such as 'hierarchy.shape.version'. */
final class KeyLines {

    private final Map<String, Integer> lines = new HashMap<>();

    KeyLines(String yaml) throws IOException {
        try (YAMLParser parser = new YAMLFactory().createParser(yaml)) {
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                object(parser, "");
            }
        }
    }

    /** The line of a key, else of the nearest key above it; 1 where there is none. */
    int of(String path) {
        for (String at = path; !at.isEmpty(); at = at.substring(0, Math.max(0, at.lastIndexOf('.')))) {
            if (lines.containsKey(at)) {
                return lines.get(at);
            }
        }
        return 1;
    }

    private void object(YAMLParser parser, String path) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = path.isEmpty() ? parser.currentName() : path + '.' + parser.currentName();
            lines.put(key, parser.currentTokenLocation().getLineNr());
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                object(parser, key);
            } else {
                parser.skipChildren();
            }
        }
    }
}
