package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.Micros;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The messages of the key-value store: transactions, reads, changes and leases. */
public final class StoreCodec {
    private static final String KEY = "k";
    private static final String VALUE = "data";
    private static final String VERSION = "stamp";
    private static final String REVISION = "ledger";
    private static final String LEASE = "hold";
    private static final String PUT = "put";
    private static final String DELETE = "delete";
    private static final String FAILED_KEYS = "failed";

    private StoreCodec() {}

    /**
     * A key with its record.
     *
     * @param key the key
     * @param record null if the key does not exist or was deleted
     * @param version revision of the last change of the key
     */
    public record Item(String key, StoredRecord record, long version) {}

    /**
     * A page of keys, or the changes since a revision.
     *
     * @param items the keys with their records, in the order in which the store sent them
     * @param hasMore whether the page was cut and the next one is to be read
     * @param revision revision of the store as of which this was read
     */
    public record Items(List<Item> items, boolean hasMore, long revision) {}

    /** Encodes a transaction. */
    public static byte[] transaction(Transaction transaction) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeArrayFieldStart("if");
            for (Transaction.Condition condition : transaction.conditions()) {
                writeCondition(out, condition);
            }
            out.writeEndArray();
            out.writeArrayFieldStart("writes");
            for (Transaction.Write write : transaction.writes()) {
                writeWrite(out, write);
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    private static void writeCondition(JsonGenerator out, Transaction.Condition condition) throws IOException {
        out.writeStartObject();
        out.writeStringField(KEY, condition.key());
        out.writeNumberField(VERSION, condition.version());
        out.writeEndObject();
    }

    private static void writeWrite(JsonGenerator out, Transaction.Write write) throws IOException {
        out.writeStartObject();
        if (write.record() == null) {

            out.writeStringField(DELETE, write.key());
        } else {
            out.writeStringField(PUT, write.key());
            out.writeFieldName(VALUE);
            StoredRecordCodec.write(out, write.record());
            if (write.leaseId() != 0) {
                out.writeNumberField(LEASE, write.leaseId());
            }
        }
        out.writeEndObject();
    }

    /** What a record takes of the size limit of a value, in bytes. */
    public static int encodedBytes(StoredRecord record) {
        return Json.bytes(out -> StoredRecordCodec.write(out, record)).length;
    }

    /**
     * The revision of the store at which a transaction was applied.
     *
     * @throws MalformedException if the answer does not say
     */
    public static long revision(byte[] body) throws MalformedException {
        return revision(new JsonFields(Json.tree(body), ""));
    }

    private static long revision(JsonFields in) throws MalformedException {
        return in.count(REVISION, 0, Long.MAX_VALUE);
    }

    /**
     * The keys whose conditions did not hold, empty if the answer names none.
     *
     * @throws MalformedException if the answer is no object or the list is none of texts
     */
    public static List<String> failedKeys(byte[] body) throws MalformedException {
        JsonFields in = new JsonFields(Json.tree(body), "");
        return in.has(FAILED_KEYS) ? in.texts(FAILED_KEYS) : List.of();
    }

    /**
     * The answer to the read of one key.
     *
     * @throws MalformedException if the key or its value is not as micatide writes it
     */
    public static Item item(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        JsonFields in = new JsonFields(tree, "");
        String key = in.text(KEY);
        return new Item(key, StoredRecordCodec.read(key, tree.get(VALUE)), in.count(VERSION, 1, Long.MAX_VALUE));
    }

    /**
     * The lease that a key which was read is attached to, 0 for none.
     *
     * @throws MalformedException if the answer is not JSON
     */
    public static long attachedLeaseId(byte[] body) throws MalformedException {
        return Json.tree(body).path(LEASE).asLong(0);
    }

    /**
     * A page of a listing of keys.
     *
     * @throws MalformedException if a key or its value is not as micatide writes it
     */
    public static Items page(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        JsonFields in = new JsonFields(tree, "");
        List<Item> items = new ArrayList<>();
        for (JsonNode each : tree.path("items")) {
            String key = each.path(KEY).asText();
            items.add(new Item(
                    key,
                    StoredRecordCodec.read(key, each.get(VALUE)),
                    each.path(VERSION).asLong()));
        }
        return new Items(items, tree.path("truncated").asBoolean(), revision(in));
    }

    /**
     * The changes of keys since a revision; a deleted key has no record.
     *
     * @throws MalformedException if a key or its value is not as micatide writes it
     */
    public static Items changes(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        JsonFields in = new JsonFields(tree, "");
        List<Item> items = new ArrayList<>();
        for (JsonNode each : tree.path("events")) {
            boolean put = each.hasNonNull(PUT);
            String key = each.path(put ? PUT : DELETE).asText();
            items.add(new Item(
                    key,
                    put ? StoredRecordCodec.read(key, each.get(VALUE)) : null,
                    each.path(VERSION).asLong()));
        }
        return new Items(items, false, revision(in));
    }

    /** Encodes the request for a lease. */
    public static byte[] leaseRequest(long ttlMicros) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("ttlMs", ttlMicros / Micros.MILLISECOND);
            out.writeEndObject();
        });
    }

    /**
     * The id of a lease that was granted.
     *
     * @throws MalformedException if the answer names none
     */
    public static long grantedLeaseId(byte[] body) throws MalformedException {
        return new JsonFields(Json.tree(body), "").count(LEASE, 1, Long.MAX_VALUE);
    }
}
