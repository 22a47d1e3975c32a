package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.regex.Pattern;

/** Encodes and decodes the messages between users and controllers: specifications of jobs and the answers about jobs. */
public final class JobCodec {
    public static final int MAX_TASKS = 100_000;
    private static final Pattern ID = Pattern.compile("wk-[A-Za-z0-9_-]{1,60}");

    /** State of a job as users see it. */
    public enum PublicState {
        QUEUED("queued"),
        RUNNING("running"),
        DONE("done"),
        CANCELLED("withdrawn");

        private final String wireName;

        PublicState(String word) {
            this.wireName = word;
        }

        String wireName() {
            return wireName;
        }
    }

    private JobCodec() {}

    public static boolean isId(String id) {
        return ID.matcher(id).matches();
    }

    /** Decodes only the id of a submission: the retry of a known job is answered regardless of its other fields. */
    public static String id(JsonNode body) throws MalformedException {
        String id = new JsonFields(body, "").text("nameId");
        if (!isId(id)) {
            throw new MalformedException("nameId", "is not a job id");
        }
        return id;
    }

    public static JobSpec spec(JsonNode body) throws MalformedException {
        JsonFields in = new JsonFields(body, "");
        return new JobSpec(
                id(body),
                in.text("roster"),
                in.text("crew"),
                kind(in.text("form")),
                priority(in.text("rank")),
                (int) in.count("legs", 1, MAX_TASKS),
                Resources.of(in.amount("cpus"), in.amount("cards"), in.amount("memGb")),
                in.text("kit"),
                in.amount("sizeGb"),
                in.has("builds") ? in.texts("builds") : List.of(),
                in.textOrNull("ground"),
                in.flag("samePlace"),
                in.flag("scatter"),
                in.flag("loaners"),
                in.seconds("runtimeS"),
                in.seconds("halftimeS"),
                in.seconds("stowS"),
                in.has("whistleS") ? in.seconds("whistleS") : -1,
                dependencies(in));
    }

    /** Decodes the ids of the jobs that this job depends on, without duplicates and in the order of first mention. */
    private static List<String> dependencies(JsonFields in) throws MalformedException {
        if (!in.has("awaits")) {
            return List.of();
        }
        List<String> names = List.copyOf(new LinkedHashSet<>(in.texts("awaits")));
        for (String name : names) {
            if (!isId(name)) {
                throw new MalformedException("awaits", "must be a list of job ids");
            }
        }
        return names;
    }

    /** Writes a specification. Stored records have the same form as submissions, so that the next version reads what this one wrote. */
    static void writeSpec(JsonGenerator out, JobSpec spec) throws IOException {
        out.writeStartObject();
        out.writeStringField("nameId", spec.id());
        out.writeStringField("roster", spec.jobClass());
        out.writeStringField("crew", spec.team());
        out.writeStringField("form", wireName(spec.kind()));
        out.writeStringField("rank", wireName(spec.priority()));
        out.writeNumberField("legs", spec.taskCount());
        out.writeNumberField("cpus", spec.taskResources().cpus() / 1000.0);
        out.writeNumberField("cards", spec.taskResources().gpus() / 1000.0);
        out.writeNumberField("memGb", spec.taskResources().memory() / 1000.0);
        out.writeStringField("kit", spec.image());
        out.writeNumberField("sizeGb", spec.imageGb());
        if (!spec.machineTypes().isEmpty()) {
            out.writeArrayFieldStart("builds");
            for (String type : spec.machineTypes()) {
                out.writeString(type);
            }
            out.writeEndArray();
        }
        if (spec.zone() != null) {
            out.writeStringField("ground", spec.zone());
        }
        out.writeBooleanField("samePlace", spec.singleZone());
        out.writeBooleanField("scatter", spec.spreadOverZones());
        out.writeBooleanField("loaners", spec.spotAllowed());
        out.writeNumberField("runtimeS", Micros.toSeconds(spec.estimatedRuntimeMicros()));
        out.writeNumberField("halftimeS", Micros.toSeconds(spec.checkpointIntervalMicros()));
        out.writeNumberField("stowS", Micros.toSeconds(spec.saveMicros()));
        if (spec.deadlineMicros() >= 0) {
            out.writeNumberField("whistleS", Micros.toSeconds(spec.deadlineMicros()));
        }
        if (!spec.dependencies().isEmpty()) {
            out.writeArrayFieldStart("awaits");
            for (String dependency : spec.dependencies()) {
                out.writeString(dependency);
            }
            out.writeEndArray();
        }
        out.writeEndObject();
    }

    public static byte[] accepted(String id, PublicState state) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeStringField("nameId", id);
            out.writeStringField("standing", state.wireName);
            out.writeEndObject();
        });
    }

    public static byte[] status(String id, PublicState state, int done, int running) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeStringField("nameId", id);
            out.writeStringField("standing", state.wireName);
            out.writeNumberField("done", done);
            out.writeNumberField("running", running);
            out.writeEndObject();
        });
    }

    private static JobKind kind(String word) throws MalformedException {
        return switch (word) {
            case "batch" -> JobKind.ARRAY;
            case "group" -> JobKind.GANG;
            case "daemon" -> JobKind.SERVICE;
            default -> throw new MalformedException("form", "must be batch, group or daemon");
        };
    }

    private static String wireName(JobKind kind) {
        return switch (kind) {
            case ARRAY -> "batch";
            case GANG -> "group";
            case SERVICE -> "daemon";
        };
    }

    private static Priority priority(String word) throws MalformedException {
        return switch (word) {
            case "production" -> Priority.PRODUCTION;
            case "high" -> Priority.HIGH;
            case "normal" -> Priority.NORMAL;
            case "best_effort" -> Priority.LOW;
            default -> throw new MalformedException("rank", "must be production, high, normal or best_effort");
        };
    }

    private static String wireName(Priority priority) {
        return switch (priority) {
            case PRODUCTION -> "production";
            case HIGH -> "high";
            case NORMAL -> "normal";
            case LOW -> "best_effort";
        };
    }
}
