package io.micatide.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The store's messages with values as they are stored, whatever they mean: for copies that have to be exact. */
public final class RawStoreCodec {
    private RawStoreCodec() {}

    /**
     * A value as it is stored.
     *
     * @param key the key
     * @param json the value as compact JSON, null of a deletion
     * @param version revision of its last change
     */
    public record Value(String key, String json, long version) {}

    /**
     * A page of values, or the changes since a revision in the order in which they were made.
     *
     * @param values those
     * @param hasMore whether there are values after the page
     * @param revision of the store
     */
    public record Page(List<Value> values, boolean hasMore, long revision) {}

    /**
     * Decodes a page of values.
     *
     * @param body the store's answer
     * @return values in the order of their keys
     * @throws MalformedException it is no such answer
     */
    public static Page page(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        List<Value> values = new ArrayList<>();
        for (JsonNode each : tree.path("items")) {
            values.add(new Value(
                    each.path("k").asText(),
                    each.path("data").toString(),
                    each.path("stamp").asLong()));
        }
        return new Page(values, tree.path("truncated").asBoolean(), StoreCodec.revision(body));
    }

    /**
     * Decodes changes.
     *
     * @param body the store's answer
     * @return changes in the order of their versions
     * @throws MalformedException it is no such answer
     */
    public static Page changes(byte[] body) throws MalformedException {
        List<Value> values = new ArrayList<>();
        for (JsonNode each : Json.tree(body).path("events")) {
            boolean put = each.hasNonNull("put");
            values.add(new Value(
                    each.path(put ? "put" : "delete").asText(),
                    put ? each.path("data").toString() : null,
                    each.path("stamp").asLong()));
        }
        values.sort(Comparator.comparingLong(Value::version));
        return new Page(values, false, StoreCodec.revision(body));
    }

    /**
     * Decodes a value that was read by its key.
     *
     * @param body the store's answer
     * @return the value
     * @throws MalformedException it is no such answer
     */
    public static Value value(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        return new Value(
                tree.path("k").asText(),
                tree.path("data").toString(),
                tree.path("stamp").asLong());
    }

    /**
     * Encodes a transaction that puts values which must not exist yet.
     *
     * @param values what to put
     * @param marker a key that must have its version, null for no such condition
     * @param markerVersion the marker's version
     * @return JSON
     */
    public static byte[] putNew(List<Value> values, String marker, long markerVersion) {
        StringBuilder out = new StringBuilder("{\"if\":[");
        String comma = "";
        if (marker != null) {
            out.append("{\"k\":\"")
                    .append(marker)
                    .append("\",\"stamp\":")
                    .append(markerVersion)
                    .append('}');
            comma = ",";
        }
        for (Value value : values) {
            if (!value.key().equals(marker)) {
                out.append(comma).append("{\"k\":\"").append(value.key()).append("\",\"stamp\":0}");
                comma = ",";
            }
        }
        out.append("],\"writes\":[");
        comma = "";
        for (Value value : values) {
            out.append(comma)
                    .append("{\"put\":\"")
                    .append(value.key())
                    .append("\",\"data\":")
                    .append(value.json())
                    .append('}');
            comma = ",";
        }
        return out.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Encodes a transaction that deletes a key.
     *
     * @param key to delete
     * @param version that it must have
     * @return JSON
     */
    public static byte[] delete(String key, long version) {
        return ("{\"if\":[{\"k\":\"" + key + "\",\"stamp\":" + version + "}],\"writes\":[{\"delete\":\"" + key
                        + "\"}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Encodes a transaction that deletes a key and puts another.
     *
     * @param key to delete
     * @param version that it must have
     * @param other what to put
     * @return JSON
     */
    public static byte[] replace(String key, long version, Value other) {
        return ("{\"if\":[{\"k\":\"" + key + "\",\"stamp\":" + version + "}],\"writes\":[{\"delete\":\"" + key
                        + "\"},{\"put\":\"" + other.key() + "\",\"data\":" + other.json() + "}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Encodes a value as a line of a file.
     *
     * @param value what to encode
     * @return JSON without a line end
     */
    public static String jsonLine(Value value) {
        return "{\"k\":\"" + value.key() + "\",\"data\":" + value.json() + ",\"stamp\":" + value.version() + "}";
    }
}
