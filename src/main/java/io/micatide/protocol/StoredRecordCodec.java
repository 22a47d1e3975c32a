package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.JobState;
import io.micatide.model.MachineType;
import io.micatide.store.MachineNameCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes the records that micatide keeps in the store as JSON. The key determines the type of its record. During an upgrade
 * controllers of the old and the new version run side by side, so field names and their order must not change.
 */
final class StoredRecordCodec {
    private static final String OWNER = "owner";
    private static final String STATE = "state";
    private static final String TASKS = "tasks";
    private static final String SUBMITTED = "submitted";
    private static final String ENDED = "ended";
    private static final String FURTHER_DEPENDENCY_RECORDS = "furtherNeeds";
    private static final String CHECKED_AGAINST_ARCHIVE = "checked";
    private static final String SPEC = "spec";
    private static final String DEPENDENCIES = "awaits";
    private static final String LAYOUT = "layout";
    private static final String PAGE_TASKS = "pageTasks";
    private static final String MACHINES = "machines";
    private static final String COMPRESSED_MACHINES = "fleet";
    private static final String GANG_ATTEMPT = "gang";
    private static final String FINISHED_TASKS = "done";
    private static final String TYPE = "type";
    private static final String ZONE = "zone";
    private static final String SPOT = "spot";
    private static final String COUNT = "count";
    private static final String MACHINE_TYPES = "types";

    private static final int MAX_PROVISIONED_MACHINES = 1000;

    private StoredRecordCodec() {}

    static void write(JsonGenerator out, StoredRecord stored) throws IOException {
        out.writeStartObject();
        if (stored instanceof StoredRecord.Leader leader) {
            out.writeStringField(OWNER, leader.owner());
        } else if (stored instanceof StoredRecord.JobRecord job) {
            writeJob(out, job);
        } else if (stored instanceof StoredRecord.FurtherDependencies dependencies) {
            writeTexts(out, DEPENDENCIES, dependencies.names());
        } else if (stored instanceof StoredRecord.Layout layout) {
            writeLayout(out, layout);
        } else if (stored instanceof StoredRecord.ArchiveManifest manifest) {
            ArchiveCodec.write(out, manifest);
        } else if (stored instanceof StoredRecord.ArchiveSegment segment) {
            ArchiveCodec.write(out, segment);
        } else if (stored instanceof StoredRecord.Ledger ledger) {
            writeLedger(out, ledger);
        } else if (stored instanceof StoredRecord.Provisioning provisioning) {
            writeProvisioning(out, provisioning);
        } else if (stored instanceof StoredRecord.MachineTypes types) {
            writeMachineTypes(out, types);
        } else {
            RolloutCodec.write(out, stored);
        }
        out.writeEndObject();
    }

    private static void writeJob(JsonGenerator out, StoredRecord.JobRecord job) throws IOException {
        out.writeStringField(STATE, job.state().name());
        out.writeNumberField(TASKS, job.taskCount());
        out.writeNumberField(SUBMITTED, job.submittedWall());
        if (job.endedWall() >= 0) {
            out.writeNumberField(ENDED, job.endedWall());
        }
        if (job.furtherDependencyRecords() > 0) {
            out.writeNumberField(FURTHER_DEPENDENCY_RECORDS, job.furtherDependencyRecords());
        }
        if (job.checkedAgainstArchive()) {
            out.writeBooleanField(CHECKED_AGAINST_ARCHIVE, true);
        }
        if (job.spec() != null) {
            out.writeFieldName(SPEC);
            JobCodec.writeSpec(out, job.spec());
        }
    }

    private static void writeLayout(JsonGenerator out, StoredRecord.Layout layout) throws IOException {
        out.writeNumberField(LAYOUT, layout.number());
        out.writeNumberField(PAGE_TASKS, layout.pageTasks());
    }

    private static void writeLedger(JsonGenerator out, StoredRecord.Ledger ledger) throws IOException {
        if (ledger.compressedNames()) {
            writeTexts(out, COMPRESSED_MACHINES, MachineNameCodec.compress(ledger.machines()));
        } else {
            writeTexts(out, MACHINES, ledger.machines());
        }
        out.writeNumberField(GANG_ATTEMPT, ledger.gangAttempt());
        out.writeStringField(FINISHED_TASKS, ledger.finishedTasks());
    }

    private static void writeProvisioning(JsonGenerator out, StoredRecord.Provisioning provisioning)
            throws IOException {
        out.writeStringField(STATE, provisioning.state());
        out.writeStringField(TYPE, provisioning.type());
        out.writeStringField(ZONE, provisioning.zone());
        out.writeBooleanField(SPOT, provisioning.spot());
        out.writeNumberField(COUNT, provisioning.count());
    }

    private static void writeMachineTypes(JsonGenerator out, StoredRecord.MachineTypes types) throws IOException {
        out.writeArrayFieldStart(MACHINE_TYPES);
        for (MachineType type : types.types()) {
            CloudCodec.writeType(out, type);
        }
        out.writeEndArray();
    }

    private static void writeTexts(JsonGenerator out, String field, List<String> texts) throws IOException {
        out.writeArrayFieldStart(field);
        for (String text : texts) {
            out.writeString(text);
        }
        out.writeEndArray();
    }

    /**
     * Decodes the record of the given key.
     *
     * @throws MalformedException if micatide has no record under the key, or the value does not have the form of that record
     */
    static StoredRecord read(String key, JsonNode value) throws MalformedException {
        JsonFields in = new JsonFields(value, key);
        if (key.equals(StoreKeys.LEADER)) {
            return new StoredRecord.Leader(in.text(OWNER));
        }
        if (key.equals(StoreKeys.MACHINE_TYPES)) {
            return readMachineTypes(in);
        }
        if (key.equals(StoreKeys.LAYOUT)) {
            return readLayout(in);
        }
        if (key.equals(StoreKeys.ARCHIVE_MANIFEST)) {
            return ArchiveCodec.manifest(in, value);
        }
        if (RolloutCodec.isFor(key)) {
            return RolloutCodec.read(key, in, value);
        }
        if (key.startsWith(StoreKeys.ARCHIVE_SEGMENTS)) {
            return ArchiveCodec.segment(in);
        }
        if (StoreKeys.isFurtherDependencies(key)) {
            return new StoredRecord.FurtherDependencies(in.texts(DEPENDENCIES));
        }
        if (StoreKeys.isJob(key)) {
            return readJob(in, value);
        }
        if (StoreKeys.isLedger(key)) {
            return readLedger(in, value);
        }
        if (key.startsWith(StoreKeys.PROVISIONING_REQUESTS)) {
            return readProvisioning(in);
        }
        throw new MalformedException(key, "is not a key of micatide");
    }

    private static StoredRecord.Layout readLayout(JsonFields in) throws MalformedException {
        return new StoredRecord.Layout(
                (int) in.count(LAYOUT, 1, Integer.MAX_VALUE), (int) in.count(PAGE_TASKS, 1, Integer.MAX_VALUE));
    }

    private static StoredRecord.JobRecord readJob(JsonFields in, JsonNode value) throws MalformedException {
        JobState state = JobState.valueOf(in.text(STATE));
        return new StoredRecord.JobRecord(
                state,
                state.isFinal() && !in.has(SPEC) ? null : JobCodec.spec(value.get(SPEC)),
                in.count(SUBMITTED, 0, Long.MAX_VALUE),
                (int) in.count(TASKS, 0, Integer.MAX_VALUE),
                in.has(ENDED) ? in.count(ENDED, 0, Long.MAX_VALUE) : -1,
                in.has(FURTHER_DEPENDENCY_RECORDS)
                        ? (int) in.count(FURTHER_DEPENDENCY_RECORDS, 0, Integer.MAX_VALUE)
                        : 0,
                in.has(CHECKED_AGAINST_ARCHIVE) && in.flag(CHECKED_AGAINST_ARCHIVE));
    }

    private static StoredRecord.Ledger readLedger(JsonFields in, JsonNode value) throws MalformedException {
        boolean compressed = in.has(COMPRESSED_MACHINES);
        return new StoredRecord.Ledger(
                compressed ? readCompressedMachines(in) : in.texts(MACHINES),
                in.count(GANG_ATTEMPT, 0, Long.MAX_VALUE),
                value.path(FINISHED_TASKS).asText(""),
                compressed);
    }

    private static List<String> readCompressedMachines(JsonFields in) throws MalformedException {
        try {
            return MachineNameCodec.decompress(in.texts(COMPRESSED_MACHINES));
        } catch (IllegalArgumentException e) {
            throw new MalformedException(in.path(COMPRESSED_MACHINES), "must be a list of compressed machine names");
        }
    }

    private static StoredRecord.Provisioning readProvisioning(JsonFields in) throws MalformedException {
        return new StoredRecord.Provisioning(in.text(STATE), in.text(TYPE), in.text(ZONE), in.flag(SPOT), (int)
                in.count(COUNT, 0, MAX_PROVISIONED_MACHINES));
    }

    private static StoredRecord.MachineTypes readMachineTypes(JsonFields in) throws MalformedException {
        List<MachineType> types = new ArrayList<>();
        for (JsonFields type : in.objects(MACHINE_TYPES)) {
            types.add(CloudCodec.type(type));
        }
        return new StoredRecord.MachineTypes(types);
    }
}
