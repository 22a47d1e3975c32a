package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.Micros;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes the messages of the store: transactions, reads, changes and leases. */
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
     * A key and its record.
     *
     * @param key the key
     * @param record the record, null if the key does not exist or was deleted
     * @param version store revision of the last change of the key
     */
    public record Item(String key, StoredRecord record, long version) {}

    /**
     * A page of keys, or the changes since a revision.
     *
     * @param items the keys with their records, in the order in which the store sent them
     * @param hasMore whether the page was cut off and the next one has to be read
     * @param revision store revision as of which this was read
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

    /** Returns the encoded size of a record in bytes, which counts against the store's limit on values. */
    public static int encodedBytes(StoredRecord record) {
        return Json.bytes(out -> StoredRecordCodec.write(out, record)).length;
    }

    /**
     * Decodes the store revision at which a transaction was applied.
     *
     * @throws MalformedException if the answer has no revision
     */
    public static long revision(byte[] body) throws MalformedException {
        return revision(new JsonFields(Json.tree(body), ""));
    }

    private static long revision(JsonFields in) throws MalformedException {
        return in.count(REVISION, 0, Long.MAX_VALUE);
    }

    /**
     * Decodes the keys whose conditions did not hold; empty if the answer names none.
     *
     * @throws MalformedException if the answer is not an object or the keys are not a list of strings
     */
    public static List<String> failedKeys(byte[] body) throws MalformedException {
        JsonFields in = new JsonFields(Json.tree(body), "");
        return in.has(FAILED_KEYS) ? in.texts(FAILED_KEYS) : List.of();
    }

    /**
     * Decodes the answer to the read of one key.
     *
     * @throws MalformedException if the key or its value does not have the form that micatide writes
     */
    public static Item item(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        JsonFields in = new JsonFields(tree, "");
        String key = in.text(KEY);
        return new Item(key, StoredRecordCodec.read(key, tree.get(VALUE)), in.count(VERSION, 1, Long.MAX_VALUE));
    }

    /**
     * Decodes the id of the lease to which the key of an answer is attached, 0 for none.
     *
     * @throws MalformedException if the answer is not JSON
     */
    public static long attachedLeaseId(byte[] body) throws MalformedException {
        return Json.tree(body).path(LEASE).asLong(0);
    }

    /**
     * Decodes a page of a list of keys.
     *
     * @throws MalformedException if a key or its value does not have the form that micatide writes
     */
    public static Items page(byte[] body) throws MalformedException {
        List<Item> items = new ArrayList<>();
        JsonNode tree = Json.treeWithoutList(body, "items", entry -> {
            String key = entry.path(KEY).asText();
            items.add(new Item(
                    key,
                    StoredRecordCodec.read(key, entry.get(VALUE)),
                    entry.path(VERSION).asLong()));
        });
        return new Items(items, tree.path("truncated").asBoolean(), revision(new JsonFields(tree, "")));
    }

    /**
     * Decodes the changes of keys since a revision. The record of a deleted key is null.
     *
     * @throws MalformedException if a key or its value does not have the form that micatide writes
     */
    public static Items changes(byte[] body) throws MalformedException {
        List<Item> items = new ArrayList<>();
        JsonNode tree = Json.treeWithoutList(body, "events", entry -> {
            boolean put = entry.hasNonNull(PUT);
            String key = entry.path(put ? PUT : DELETE).asText();
            items.add(new Item(
                    key,
                    put ? StoredRecordCodec.read(key, entry.get(VALUE)) : null,
                    entry.path(VERSION).asLong()));
        });
        return new Items(items, false, revision(new JsonFields(tree, "")));
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
     * Decodes the id of a granted lease.
     *
     * @throws MalformedException if the answer has no id
     */
    public static long grantedLeaseId(byte[] body) throws MalformedException {
        return new JsonFields(Json.tree(body), "").count(LEASE, 1, Long.MAX_VALUE);
    }
}
