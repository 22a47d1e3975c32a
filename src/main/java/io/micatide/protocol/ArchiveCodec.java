package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.store.StoredRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** Encodes and decodes the records of the archive as JSON. Runs are lists, not objects, so that a manifest of many runs fits a small value. */
final class ArchiveCodec {
    /** Format number of the archive. A reader must not read an archive of a format that it does not know. */
    private static final int FORMAT = 1;

    private static final int RUN_FIELDS = 4;

    private ArchiveCodec() {}

    static void write(JsonGenerator out, StoredRecord.ArchiveManifest manifest) throws IOException {
        out.writeNumberField("history", FORMAT);
        out.writeNumberField("since", manifest.sinceVersion());
        out.writeArrayFieldStart("salt");
        out.writeNumber(manifest.saltA());
        out.writeNumber(manifest.saltB());
        out.writeEndArray();
        out.writeArrayFieldStart("runs");
        for (StoredRecord.ArchiveRun run : manifest.runs()) {
            out.writeStartArray();
            out.writeString(run.name());
            out.writeNumber(run.segments());
            out.writeNumber(run.jobs());
            out.writeNumber(run.bytes());
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    static StoredRecord.ArchiveManifest manifest(JsonFields in, JsonNode data) throws MalformedException {
        in.count("history", FORMAT, FORMAT);
        JsonNode salt = data.path("salt");
        if (salt.size() != 2) {
            throw new MalformedException(in.path("salt"), "must be two numbers");
        }
        List<StoredRecord.ArchiveRun> runs = new ArrayList<>();
        for (JsonNode run : data.path("runs")) {
            if (run.size() != RUN_FIELDS
                    || !run.get(0).isTextual()
                    || run.get(1).asInt() < 1) {
                throw new MalformedException(in.path("runs"), "must be lists of name, segments, jobs and bytes");
            }
            runs.add(new StoredRecord.ArchiveRun(
                    run.get(0).textValue(),
                    run.get(1).asInt(),
                    run.get(2).asLong(),
                    run.get(3).asLong()));
        }
        return new StoredRecord.ArchiveManifest(
                in.count("since", 0, Long.MAX_VALUE),
                salt.get(0).asLong(),
                salt.get(1).asLong(),
                List.copyOf(runs));
    }

    static void write(JsonGenerator out, StoredRecord.ArchiveSegment segment) throws IOException {
        out.writeStringField("digest", segment.digest());
        out.writeStringField("packed", Base64.getEncoder().encodeToString(segment.packed()));
    }

    static StoredRecord.ArchiveSegment segment(JsonFields in) throws MalformedException {
        try {
            return new StoredRecord.ArchiveSegment(
                    in.text("digest"), Base64.getDecoder().decode(in.text("packed")));
        } catch (IllegalArgumentException e) {
            throw new MalformedException(in.path("packed"), "must be base64");
        }
    }
}
