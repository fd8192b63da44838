package pumicemoor.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An immutable JSON object, parsed completely, with typed access to its fields. A field whose value is null counts as
 * absent. Errors name the field by its path in the object, such as {@code info.classes[0].aim-us}.
 */
public final class JsonObject {

    private static final JsonFactory JSON = new JsonFactory();

    private final String pathPrefix;
    private final Map<String, Object> fields;

    private JsonObject(String pathPrefix, Map<String, Object> fields) {
        this.pathPrefix = pathPrefix;
        this.fields = fields;
    }

    /** Parses a line, which must hold exactly one JSON object. */
    public static JsonObject parse(String line) throws InvalidInputException {
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInputException("not a JSON object");
            }
            Map<String, Object> fields = readObject(parser);
            if (parser.nextToken() != null) {
                throw new InvalidInputException("the line has more than one JSON value");
            }
            return new JsonObject("", fields);
        } catch (JsonProcessingException e) {
            throw new InvalidInputException(
                    "not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new InvalidInputException("not JSON: " + e.getMessage());
        }
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, readValue(parser));
        }
        return fields;
    }

    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> {
                List<Object> values = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    values.add(readValue(parser));
                }
                yield values;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }

    public boolean has(String name) {
        return fields.get(name) != null;
    }

    /** Returns a field's value of any type, or null if it is absent. Equal JSON texts give equal values. */
    public Object value(String name) {
        return fields.get(name);
    }

    public String text(String name) throws InvalidInputException {
        return required(name, String.class);
    }

    public String text(String name, String defaultValue) throws InvalidInputException {
        return has(name) ? text(name) : defaultValue;
    }

    public long integer(String name) throws InvalidInputException {
        return required(name, Number.class).longValue();
    }

    public long integer(String name, long defaultValue) throws InvalidInputException {
        return has(name) ? integer(name) : defaultValue;
    }

    public double number(String name, double defaultValue) throws InvalidInputException {
        return has(name) ? required(name, Number.class).doubleValue() : defaultValue;
    }

    /** Returns a boolean field; an absent one counts as false. */
    public boolean flag(String name) throws InvalidInputException {
        return has(name) && required(name, Boolean.class);
    }

    public JsonObject object(String name) throws InvalidInputException {
        return object(pathPrefix + name, required(name, Map.class));
    }

    /** Returns the object of that name, or an object without fields if it is absent. */
    public JsonObject objectOrEmpty(String name) throws InvalidInputException {
        return has(name) ? object(name) : new JsonObject(pathPrefix + name + ".", Map.of());
    }

    /** Returns the elements of a list of objects; an absent list counts as empty. */
    public List<JsonObject> objects(String name) throws InvalidInputException {
        List<JsonObject> objects = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof Map)) {
                throw wrongType(name);
            }
            objects.add(object(pathPrefix + name + "[" + objects.size() + "]", element));
        }
        return objects;
    }

    public List<String> texts(String name) throws InvalidInputException {
        return elements(name, String.class);
    }

    public List<Number> numbers(String name) throws InvalidInputException {
        return elements(name, Number.class);
    }

    List<Boolean> flags(String name) throws InvalidInputException {
        return elements(name, Boolean.class);
    }

    /** Returns all fields whose values are numbers, by name. */
    Map<String, Double> numbersByName() {
        Map<String, Double> numbers = new LinkedHashMap<>();
        fields.forEach((name, value) -> {
            if (value instanceof Number number) {
                numbers.put(name, number.doubleValue());
            }
        });
        return numbers;
    }

    private <T> List<T> elements(String name, Class<T> type) throws InvalidInputException {
        List<T> elements = new ArrayList<>();
        for (Object element : list(name)) {
            if (!type.isInstance(element)) {
                throw wrongType(name);
            }
            elements.add(type.cast(element));
        }
        return elements;
    }

    private List<?> list(String name) throws InvalidInputException {
        return has(name) ? required(name, List.class) : List.of();
    }

    private <T> T required(String name, Class<T> type) throws InvalidInputException {
        Object value = fields.get(name);
        if (value == null) {
            throw new InvalidInputException("field '" + pathPrefix + name + "' is missing");
        }
        if (!type.isInstance(value)) {
            throw wrongType(name);
        }
        return type.cast(value);
    }

    private InvalidInputException wrongType(String name) {
        return new InvalidInputException("field '" + pathPrefix + name + "' has a value of the wrong type");
    }

    private static JsonObject object(String path, Object value) {
        Map<String, Object> fields = new LinkedHashMap<>();
        ((Map<?, ?>) value).forEach((key, element) -> fields.put((String) key, element));
        return new JsonObject(path + ".", fields);
    }
}
