package pumicemoor.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes the rows of a status table as the JSON text that a router sends to the operator's commands: an
 * array with one object a row. The keys are the columns.
 */
public final class JsonRows {

    private static final ObjectMapper JSON = new ObjectMapper();

    private JsonRows() {}

    public static String encode(List<Map<String, Object>> rows) {
        try {
            return JSON.writeValueAsString(rows);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a row has a value that cannot be written as JSON", e);
        }
    }

    /** Decodes the JSON text of rows; the exception says why the text cannot be read as rows. */
    public static List<Map<String, Object>> decode(String json) throws InvalidInputException {
        try {
            return JSON.readValue(json, new TypeReference<List<Map<String, Object>>>() {});
        } catch (JsonProcessingException e) {
            throw new InvalidInputException("the answer is not a JSON array of rows: " + e.getOriginalMessage());
        }
    }
}
