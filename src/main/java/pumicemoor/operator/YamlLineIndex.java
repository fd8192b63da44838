package pumicemoor.operator;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Index of the line numbers of the keys in a YAML text, by their path, such as 'hierarchy.shape.version'. */
final class YamlLineIndex {

    private final Map<String, Integer> linesByPath = new HashMap<>();

    YamlLineIndex(String yaml) throws IOException {
        try (YAMLParser parser = new YAMLFactory().createParser(yaml)) {
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                indexObject(parser, "");
            }
        }
    }

    /** Returns the line of a key, or of its nearest ancestor that is in the text, or 1 if there is none. */
    int lineOf(String path) {
        for (String key = path; !key.isEmpty(); key = key.substring(0, Math.max(0, key.lastIndexOf('.')))) {
            if (linesByPath.containsKey(key)) {
                return linesByPath.get(key);
            }
        }
        return 1;
    }

    private void indexObject(YAMLParser parser, String path) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = path.isEmpty() ? parser.currentName() : path + '.' + parser.currentName();
            linesByPath.put(key, parser.currentTokenLocation().getLineNr());
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                indexObject(parser, key);
            } else {
                parser.skipChildren();
            }
        }
    }
}
