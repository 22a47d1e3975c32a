package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.JobState;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.store.MachineNameCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The state service's messages, and the rows that micatide keeps there. */
public final class StoreCodec {
    /** What the frame of a list of names and the number of further rows take at most. */
    private static final int FURTHER_BYTES = 48;

    private StoreCodec() {}

    /** A key with its row; {@code record} is null if the key does not exist or was deleted. */
    public record Item(String key, StoredRecord record, long version) {}

    /** A page of keys, or the changes since a revision. */
    public record Items(List<Item> items, boolean more, long revision) {}

    public static byte[] transaction(Transaction transaction) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeArrayFieldStart("if");
            for (Transaction.Condition compare : transaction.conditions()) {
                out.writeStartObject();
                out.writeStringField("k", compare.key());
                out.writeNumberField("stamp", compare.version());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("writes");
            for (Transaction.Write write : transaction.writes()) {
                out.writeStartObject();
                if (write.record() == null) {
                    out.writeStringField("delete", write.key());
                } else {
                    out.writeStringField("put", write.key());
                    out.writeFieldName("data");
                    write(out, write.record());
                    if (write.leaseId() != 0) {
                        out.writeNumberField("hold", write.leaseId());
                    }
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    private static void write(JsonGenerator out, StoredRecord row) throws IOException {
        out.writeStartObject();
        if (row instanceof StoredRecord.Leader leader) {
            out.writeStringField("owner", leader.owner());
        } else if (row instanceof StoredRecord.JobRecord job) {
            out.writeStringField("state", job.state().name());
            out.writeNumberField("tasks", job.taskCount());
            out.writeNumberField("submitted", job.submittedWall());
            if (job.endedWall() >= 0) {
                out.writeNumberField("ended", job.endedWall());
            }
            if (job.furtherDependencyRecords() > 0) {
                out.writeNumberField("furtherNeeds", job.furtherDependencyRecords());
            }
            if (job.checkedAgainstArchive()) {
                out.writeBooleanField("checked", true);
            }
            if (job.spec() != null) {
                out.writeFieldName("spec");
                JobCodec.writeSpec(out, job.spec());
            }
        } else if (row instanceof StoredRecord.FurtherDependencies needs) {
            out.writeArrayFieldStart("awaits");
            for (String name : needs.names()) {
                out.writeString(name);
            }
            out.writeEndArray();
        } else if (row instanceof StoredRecord.Layout layout) {
            out.writeNumberField("layout", layout.number());
            out.writeNumberField("pageTasks", layout.pageTasks());
        } else if (row instanceof StoredRecord.ArchiveManifest history) {
            ArchiveCodec.write(out, history);
        } else if (row instanceof StoredRecord.ArchiveSegment segment) {
            ArchiveCodec.write(out, segment);
        } else if (row instanceof StoredRecord.Ledger ledger) {
            out.writeArrayFieldStart(ledger.compressedNames() ? "fleet" : "machines");
            for (String text :
                    ledger.compressedNames() ? MachineNameCodec.compress(ledger.machines()) : ledger.machines()) {
                out.writeString(text);
            }
            out.writeEndArray();
            out.writeNumberField("gang", ledger.gangAttempt());
            out.writeStringField("done", ledger.finishedTasks());
        } else if (row instanceof StoredRecord.Provisioning booking) {
            out.writeStringField("state", booking.state());
            out.writeStringField("type", booking.type());
            out.writeStringField("zone", booking.zone());
            out.writeBooleanField("spot", booking.spot());
            out.writeNumberField("count", booking.count());
        } else if (row instanceof StoredRecord.FeatureStages
                || row instanceof StoredRecord.RegisteredController
                || row instanceof StoredRecord.FeatureRequest
                || row instanceof StoredRecord.ProvisioningFence
                || row instanceof StoredRecord.LearnedState
                || row instanceof StoredRecord.MachinesToDelete) {
            RolloutCodec.write(out, row);
        } else if (row instanceof StoredRecord.MachineTypes types) {
            out.writeArrayFieldStart("types");
            for (MachineType type : types.types()) {
                CloudCodec.writeType(out, type);
            }
            out.writeEndArray();
        }
        out.writeEndObject();
    }

    /**
     * A new job's rows: its own and, for names that it has no room for, further ones. Null if the job itself does not fit.
     */
    public static List<Transaction.Write> jobRecordWrites(String id, StoredRecord.JobRecord row, int mostBytes) {
        List<Transaction.Write> rows = new ArrayList<>();
        if (encodedBytes(row) <= mostBytes) {
            rows.add(new Transaction.Write(StoreKeys.job(id), row, 0));
            return rows;
        }
        int left =
                row.spec() == null ? -1 : mostBytes - FURTHER_BYTES - encodedBytes(row.withDependencies(List.of(), 0));
        if (left < 0) {
            return null;
        }
        List<List<String>> pieces = new ArrayList<>(List.of(new ArrayList<>()));
        for (String name : row.spec().dependencies()) {
            left -= name.length() + 3;
            if (left < 0) {
                pieces.add(new ArrayList<>());
                left = mostBytes - FURTHER_BYTES - name.length() - 3;
            }
            pieces.get(pieces.size() - 1).add(name);
        }
        rows.add(new Transaction.Write(StoreKeys.job(id), row.withDependencies(pieces.get(0), pieces.size() - 1), 0));
        for (int piece = 1; piece < pieces.size(); piece++) {
            rows.add(new Transaction.Write(
                    StoreKeys.dependencies(id, piece), new StoredRecord.FurtherDependencies(pieces.get(piece)), 0));
        }
        return rows;
    }

    /** What a row takes of the limit of a value. */
    public static int encodedBytes(StoredRecord row) {
        return Json.bytes(out -> write(out, row)).length;
    }

    private static StoredRecord readRecord(String key, JsonNode data) throws MalformedException {
        JsonFields in = new JsonFields(data, key);
        if (key.equals(StoreKeys.LEADER)) {
            return new StoredRecord.Leader(in.text("owner"));
        }
        if (key.equals(StoreKeys.LAYOUT)) {
            return new StoredRecord.Layout(
                    (int) in.count("layout", 1, Integer.MAX_VALUE), (int) in.count("pageTasks", 1, Integer.MAX_VALUE));
        }
        if (key.equals(StoreKeys.ARCHIVE_MANIFEST)) {
            return ArchiveCodec.manifest(in, data);
        }
        if (RolloutCodec.isFor(key)) {
            return RolloutCodec.row(key, in, data);
        }
        if (key.startsWith(StoreKeys.ARCHIVE_SEGMENTS)) {
            return ArchiveCodec.segment(in);
        }
        if (key.startsWith(StoreKeys.JOBS) && key.indexOf('/', StoreKeys.JOBS.length()) > 0) {
            return new StoredRecord.FurtherDependencies(in.texts("awaits"));
        }
        if (key.startsWith(StoreKeys.JOBS)) {
            JobState state = JobState.valueOf(in.text("state"));
            return new StoredRecord.JobRecord(
                    state,
                    state.isFinal() && !in.has("spec") ? null : JobCodec.spec(data.get("spec")),
                    in.count("submitted", 0, Long.MAX_VALUE),
                    (int) in.count("tasks", 0, Integer.MAX_VALUE),
                    in.has("ended") ? in.count("ended", 0, Long.MAX_VALUE) : -1,
                    in.has("furtherNeeds") ? (int) in.count("furtherNeeds", 0, Integer.MAX_VALUE) : 0,
                    in.has("checked") && in.flag("checked"));
        }
        if (key.startsWith(StoreKeys.LEDGERS)) {
            boolean dense = in.has("fleet");
            return new StoredRecord.Ledger(
                    dense ? fleet(in) : in.texts("machines"),
                    in.count("gang", 0, Long.MAX_VALUE),
                    data.path("done").asText(""),
                    dense);
        }
        if (key.startsWith(StoreKeys.PROVISIONING_REQUESTS)) {
            return new StoredRecord.Provisioning(
                    in.text("state"), in.text("type"), in.text("zone"), in.flag("spot"), (int)
                            in.count("count", 0, 1000));
        }
        if (key.equals(StoreKeys.MACHINE_TYPES)) {
            List<MachineType> types = new ArrayList<>();
            for (JsonFields type : in.objects("types")) {
                types.add(CloudCodec.type(type));
            }
            return new StoredRecord.MachineTypes(types);
        }
        throw new MalformedException(key, "is not a key of micatide");
    }

    private static List<String> fleet(JsonFields in) throws MalformedException {
        try {
            return MachineNameCodec.decompress(in.texts("fleet"));
        } catch (IllegalArgumentException e) {
            throw new MalformedException(in.path("fleet"), "must be names in short");
        }
    }

    public static long revision(byte[] body) throws MalformedException {
        return new JsonFields(Json.tree(body), "").count("ledger", 0, Long.MAX_VALUE);
    }

    public static List<String> failedKeys(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        return new JsonFields(tree, "").has("failed") ? new JsonFields(tree, "").texts("failed") : List.of();
    }

    public static Item item(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        JsonFields in = new JsonFields(tree, "");
        String key = in.text("k");
        return new Item(key, readRecord(key, tree.get("data")), in.count("stamp", 1, Long.MAX_VALUE));
    }

    /** The lease that a key which was read is attached to, 0 for none. */
    public static long attachedLeaseId(byte[] body) throws MalformedException {
        return Json.tree(body).path("hold").asLong(0);
    }

    public static Items page(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        JsonFields in = new JsonFields(tree, "");
        List<Item> items = new ArrayList<>();
        for (JsonNode each : tree.path("items")) {
            String key = each.path("k").asText();
            items.add(new Item(
                    key, readRecord(key, each.get("data")), each.path("stamp").asLong()));
        }
        return new Items(items, tree.path("truncated").asBoolean(), in.count("ledger", 0, Long.MAX_VALUE));
    }

    public static Items changes(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        JsonFields in = new JsonFields(tree, "");
        List<Item> items = new ArrayList<>();
        for (JsonNode each : tree.path("events")) {
            boolean put = each.hasNonNull("put");
            String key = each.path(put ? "put" : "delete").asText();
            items.add(new Item(
                    key,
                    put ? readRecord(key, each.get("data")) : null,
                    each.path("stamp").asLong()));
        }
        return new Items(items, false, in.count("ledger", 0, Long.MAX_VALUE));
    }

    public static byte[] leaseRequest(long ttlMicros) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("ttlMs", ttlMicros / Micros.MILLISECOND);
            out.writeEndObject();
        });
    }

    public static long grantedLeaseId(byte[] body) throws MalformedException {
        return new JsonFields(Json.tree(body), "").count("hold", 1, Long.MAX_VALUE);
    }

    static Resources encodedBytes(JsonFields in) throws MalformedException {
        return Resources.of(in.amount("cpus"), in.has("cards") ? in.amount("cards") : 0, in.amount("memGb"));
    }
}
