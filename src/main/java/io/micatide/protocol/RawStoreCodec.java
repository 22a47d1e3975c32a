package io.micatide.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Encodes and decodes the store's messages with values as uninterpreted JSON, for exact copies: taking and restoring snapshots. */
public final class RawStoreCodec {
    private RawStoreCodec() {}

    /**
     * A value as uninterpreted JSON.
     *
     * @param key key of the value
     * @param json the value as compact JSON, null if the key was deleted
     * @param version store revision of the last change of the key
     */
    public record Value(String key, String json, long version) {}

    /**
     * A page of values, or the changes since a revision in the order in which they were made.
     *
     * @param values the values or changes
     * @param hasMore whether more values follow after the page
     * @param revision store revision as of which this was read
     */
    public record Page(List<Value> values, boolean hasMore, long revision) {}

    /**
     * Decodes a page of values.
     *
     * @param body the store's answer
     * @return values in the order of their keys
     * @throws MalformedException the answer does not have the expected form
     */
    public static Page page(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        List<Value> values = new ArrayList<>();
        for (JsonNode entry : tree.path("items")) {
            values.add(new Value(
                    entry.path("k").asText(),
                    entry.path("data").toString(),
                    entry.path("stamp").asLong()));
        }
        return new Page(values, tree.path("truncated").asBoolean(), StoreCodec.revision(body));
    }

    /**
     * Decodes changes.
     *
     * @param body the store's answer
     * @return changes in the order of their versions
     * @throws MalformedException the answer does not have the expected form
     */
    public static Page changes(byte[] body) throws MalformedException {
        List<Value> values = new ArrayList<>();
        for (JsonNode entry : Json.tree(body).path("events")) {
            boolean put = entry.hasNonNull("put");
            values.add(new Value(
                    entry.path(put ? "put" : "delete").asText(),
                    put ? entry.path("data").toString() : null,
                    entry.path("stamp").asLong()));
        }
        values.sort(Comparator.comparingLong(Value::version));
        return new Page(values, false, StoreCodec.revision(body));
    }

    /**
     * Decodes a value that was read by its key.
     *
     * @param body the store's answer
     * @return the value
     * @throws MalformedException the answer does not have the expected form
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
     * @param values values to put
     * @param marker key that must have the given version, null for no such condition; its value may be among the values to put
     * @param markerVersion version that the marker must have
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
     * @param key key to delete
     * @param version version that the key must have
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
     * @param key key to delete
     * @param version version that the key must have
     * @param replacement key and value to put
     * @return JSON
     */
    public static byte[] replace(String key, long version, Value replacement) {
        return ("{\"if\":[{\"k\":\"" + key + "\",\"stamp\":" + version + "}],\"writes\":[{\"delete\":\"" + key
                        + "\"},{\"put\":\"" + replacement.key() + "\",\"data\":" + replacement.json() + "}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Encodes a value as a line of a file.
     *
     * @param value the value
     * @return JSON without a line end
     */
    public static String jsonLine(Value value) {
        return "{\"k\":\"" + value.key() + "\",\"data\":" + value.json() + ",\"stamp\":" + value.version() + "}";
    }
}
