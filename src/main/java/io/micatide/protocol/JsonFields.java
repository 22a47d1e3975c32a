package io.micatide.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.Micros;
import java.util.ArrayList;
import java.util.List;

/** Checked access to the fields of an object; every complaint names the field. */
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

    /** The field as complaints name it. */
    String path(String name) {
        return path + name;
    }

    boolean has(String name) {
        return node.hasNonNull(name);
    }

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

    double amount(String name) throws MalformedException {
        JsonNode value = required(name);
        double amount = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(amount >= 0 && amount <= 1e9)) {
            throw new MalformedException(path + name, "must be a number that is not negative");
        }
        return amount;
    }

    long count(String name, long least, long most) throws MalformedException {
        JsonNode value = required(name);
        boolean whole = (value.isIntegralNumber() && value.canConvertToLong())
                || (value.isFloatingPointNumber() && value.doubleValue() == Math.rint(value.doubleValue()));
        if (!whole || value.longValue() < least || value.longValue() > most) {
            throw new MalformedException(path + name, "must be a whole number from " + least + " to " + most);
        }
        return value.longValue();
    }

    long seconds(String name) throws MalformedException {
        return Micros.ofSeconds(amount(name));
    }

    List<String> texts(String name) throws MalformedException {
        JsonNode value = required(name);
        if (!value.isArray()) {
            throw new MalformedException(path + name, "must be a list of strings");
        }
        List<String> result = new ArrayList<>();
        for (JsonNode each : value) {
            if (!each.isTextual() || each.textValue().isEmpty()) {
                throw new MalformedException(path + name, "must be a list of strings");
            }
            result.add(each.textValue());
        }
        return List.copyOf(result);
    }

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
