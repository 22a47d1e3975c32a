package io.micatide.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.Micros;
import java.util.ArrayList;
import java.util.List;

/** Checked access to the fields of a JSON object. Each exception names the field with its path. */
final class JsonFields {
    private final JsonNode node;
    private final String path;

    JsonFields(JsonNode node, String path) throws MalformedException {
        if (node == null || !node.isObject()) {
            throw new MalformedException(path.isEmpty() ? "body" : path, "is not an object");
        }
        this.node = node;
        this.path = path.isEmpty() ? "" : path + ".";
    }

    private JsonNode required(String name) throws MalformedException {
        JsonNode value = node.get(name);
        if (value == null || value.isNull()) {
            throw new MalformedException(path + name, "is missing");
        }
        return value;
    }

    /** Returns the name of a field with its path, as exceptions give it. */
    String path(String name) {
        return path + name;
    }

    /** Returns whether the field exists and is not null. */
    boolean has(String name) {
        return node.hasNonNull(name);
    }

    /** Returns a string that is not empty. */
    String text(String name) throws MalformedException {
        JsonNode value = required(name);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new MalformedException(path + name, "must be a non-empty string");
        }
        return value.textValue();
    }

    String textOrNull(String name) throws MalformedException {
        return has(name) ? text(name) : null;
    }

    boolean flag(String name) throws MalformedException {
        JsonNode value = required(name);
        if (!value.isBoolean()) {
            throw new MalformedException(path + name, "must be true or false");
        }
        return value.booleanValue();
    }

    /** Returns a number from 0 to 1e9. */
    double amount(String name) throws MalformedException {
        JsonNode value = required(name);
        double amount = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(amount >= 0 && amount <= 1e9)) {
            throw new MalformedException(path + name, "must be a number that is not negative");
        }
        return amount;
    }

    /** Returns a whole number within the given bounds, both inclusive; {@code 3.0} counts as whole. */
    long count(String name, long minimum, long maximum) throws MalformedException {
        JsonNode value = required(name);
        boolean whole = (value.isIntegralNumber() && value.canConvertToLong())
                || (value.isFloatingPointNumber() && value.doubleValue() == Math.rint(value.doubleValue()));
        if (!whole || value.longValue() < minimum || value.longValue() > maximum) {
            throw new MalformedException(path + name, "must be a whole number from " + minimum + " to " + maximum);
        }
        return value.longValue();
    }

    /** Returns a duration in microseconds that the field gives in seconds. */
    long seconds(String name) throws MalformedException {
        return Micros.ofSeconds(amount(name));
    }

    List<String> texts(String name) throws MalformedException {
        JsonNode value = required(name);
        if (!value.isArray()) {
            throw new MalformedException(path + name, "must be a list of strings");
        }
        List<String> result = new ArrayList<>();
        for (JsonNode entry : value) {
            if (!entry.isTextual() || entry.textValue().isEmpty()) {
                throw new MalformedException(path + name, "must be a list of strings");
            }
            result.add(entry.textValue());
        }
        return List.copyOf(result);
    }

    /** Returns the objects of a list; empty if the field is missing or null. */
    List<JsonFields> objects(String name) throws MalformedException {
        JsonNode value = node.get(name);
        List<JsonFields> result = new ArrayList<>();
        if (value == null || value.isNull()) {
            return result;
        }
        if (!value.isArray()) {
            throw new MalformedException(path + name, "must be a list");
        }
        for (int i = 0; i < value.size(); i++) {
            result.add(new JsonFields(value.get(i), path + name + "[" + i + "]"));
        }
        return result;
    }

    JsonFields object(String name) throws MalformedException {
        return new JsonFields(required(name), path + name);
    }
}
