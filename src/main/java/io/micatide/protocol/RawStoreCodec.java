package io.micatide.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The state service's messages with values as they are stored, whatever they mean: for copies that have to be exact. */
public final class RawStoreCodec {
    private RawStoreCodec() {}

    /** A value as compact JSON; {@code json} null of a deletion. */
    public record Value(String key, String json, long version) {}

    /** A page of keys, or the changes since a revision in the order in which they were made. */
    public record Page(List<Value> values, boolean hasMore, long revision) {}

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

    /** A value read by its key. */
    public static Value value(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        return new Value(
                tree.path("k").asText(),
                tree.path("data").toString(),
                tree.path("stamp").asLong());
    }

    /** Puts values that must not exist yet; {@code marker} must have its version, 0 for no such condition. */
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

    /** Deletes a key that has this version. */
    public static byte[] delete(String key, long version) {
        return ("{\"if\":[{\"k\":\"" + key + "\",\"stamp\":" + version + "}],\"writes\":[{\"delete\":\"" + key
                        + "\"}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Deletes a key that has this version and puts another. */
    public static byte[] replace(String key, long version, Value other) {
        return ("{\"if\":[{\"k\":\"" + key + "\",\"stamp\":" + version + "}],\"writes\":[{\"delete\":\"" + key
                        + "\"},{\"put\":\"" + other.key() + "\",\"data\":" + other.json() + "}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** A line of a file of values. */
    public static String jsonLine(Value value) {
        return "{\"k\":\"" + value.key() + "\",\"data\":" + value.json() + ",\"stamp\":" + value.version() + "}";
    }
}
