package pumicemoor.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;

/** Rows for people and programs, as the JSON text in which one process tells them to another. */
public final class Rows {

    private static final ObjectMapper JSON = new ObjectMapper();

    private Rows() {}

    public static String json(List<Map<String, Object>> rows) {
        try {
            return JSON.writeValueAsString(rows);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("rows are plain values", e);
        }
    }

    /** Reads them back; the exception says what came instead. */
    public static List<Map<String, Object>> read(String json) throws WireException {
        try {
            return JSON.readValue(json, new TypeReference<List<Map<String, Object>>>() {});
        } catch (JsonProcessingException e) {
            throw new WireException("these are no rows: " + e.getOriginalMessage());
        }
    }
}
