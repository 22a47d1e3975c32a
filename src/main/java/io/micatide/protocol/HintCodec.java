package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.Hint;
import io.micatide.model.HintBatch;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes a leader's hints to a designated standby, and the stored records of learned state, as JSON.
 *
 * <p>The format is compact because hundreds of hints change per second. A machine is
 * {@code ["m", name, address, incarnation, flags, image, size, …]}, a job {@code ["j", name, mean, tasks, probes]} with -1 probes if it is
 * not quarantined, a job class {@code ["c", name, factor, spread]}. A list that begins with another letter is ignored: it is from a later
 * version.
 */
public final class HintCodec {
    private static final int SLOW = 1;
    private static final int QUARANTINED = 2;
    private static final int DELETED = 4;

    private HintCodec() {}

    /**
     * Encodes a batch of hints.
     *
     * @param batch the batch to send
     * @return JSON
     */
    public static byte[] batch(HintBatch batch) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("token", batch.fencingToken());
            out.writeNumberField("number", batch.number());
            out.writeNumberField("base", batch.base());
            out.writeNumberField("index", batch.index());
            out.writeNumberField("parts", batch.parts());
            out.writeArrayFieldStart("gone");
            for (String name : batch.removedKeys()) {
                out.writeString(name);
            }
            out.writeEndArray();
            write(out, batch.hints());
            out.writeEndObject();
        });
    }

    /** Writes the field {@code hints}, which has the same form in messages and in stored records. */
    static void write(JsonGenerator out, List<Hint> hints) throws IOException {
        out.writeArrayFieldStart("hints");
        for (Hint hint : hints) {
            out.writeStartArray();
            write(out, hint);
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    private static void write(JsonGenerator out, Hint hint) throws IOException {
        if (hint instanceof Hint.MachineHint machine) {
            out.writeString("m");
            out.writeString(machine.name());
            out.writeString(machine.address());
            out.writeNumber(machine.incarnation());
            out.writeNumber((machine.slow() ? SLOW : 0)
                    + (machine.quarantined() ? QUARANTINED : 0)
                    + (machine.deleted() ? DELETED : 0));
            for (int i = 0; i < machine.images().size(); i++) {
                out.writeString(machine.images().get(i));
                out.writeNumber(machine.imageSizesGb().get(i));
            }
        } else if (hint instanceof Hint.JobHint job) {
            out.writeString("j");
            out.writeString(job.name());
            out.writeNumber(job.meanRuntimeMicros());
            out.writeNumber(job.completedTasks());
            out.writeNumber(job.quarantined() ? job.failedProbes() : -1);
        } else if (hint instanceof Hint.JobClassHint jobClass) {
            out.writeString("c");
            out.writeString(jobClass.name());
            out.writeNumber(jobClass.factor());
            out.writeNumber(jobClass.spread());
        }
    }

    /**
     * Decodes a batch of hints.
     *
     * @param body JSON
     * @return the batch, without hints of kinds that this version does not know
     * @throws MalformedException a field is missing or out of its range; the message names it
     */
    public static HintBatch batch(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        JsonFields in = new JsonFields(tree, "");
        return new HintBatch(
                in.count("token", 1, Long.MAX_VALUE),
                in.count("number", 1, Long.MAX_VALUE),
                in.count("base", 0, Long.MAX_VALUE),
                (int) in.count("index", 0, 10_000),
                (int) in.count("parts", 1, 10_000),
                hints(tree),
                in.texts("gone"));
    }

    /** Decodes the field {@code hints} that {@link #write(JsonGenerator, List)} writes. */
    static List<Hint> hints(JsonNode tree) {
        List<Hint> hints = new ArrayList<>();
        for (JsonNode entry : tree.path("hints")) {
            String name = entry.path(1).asText();
            switch (entry.path(0).asText()) {
                case "m" -> hints.add(machine(name, entry));
                case "j" -> hints.add(job(name, entry));
                case "c" ->
                    hints.add(new Hint.JobClassHint(
                            name, entry.path(2).asDouble(1), entry.path(3).asDouble()));
                default -> {
                    // A kind of hint of a later version.
                }
            }
        }
        return hints;
    }

    private static Hint job(String name, JsonNode entry) {
        int failedProbes = entry.path(4).asInt(-1);
        return new Hint.JobHint(
                name,
                Math.max(0, entry.path(2).asLong()),
                Math.max(0, entry.path(3).asInt()),
                failedProbes >= 0,
                Math.max(0, failedProbes));
    }

    private static Hint machine(String name, JsonNode entry) {
        List<String> images = new ArrayList<>();
        List<Double> sizes = new ArrayList<>();
        for (int i = 5; i + 1 < entry.size(); i += 2) {
            images.add(entry.path(i).asText());
            sizes.add(entry.path(i + 1).asDouble());
        }
        int flags = entry.path(4).asInt();
        return new Hint.MachineHint(
                name,
                entry.path(2).asText(),
                Math.max(0, entry.path(3).asLong()),
                images,
                sizes,
                (flags & SLOW) != 0,
                (flags & QUARANTINED) != 0,
                (flags & DELETED) != 0);
    }

    /**
     * Encodes a standby's acknowledgement.
     *
     * @param number number of the snapshot that the standby has received completely, 0 for none
     * @return JSON
     */
    public static byte[] acknowledgement(long number) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("held", number);
            out.writeEndObject();
        });
    }

    /**
     * Decodes a standby's acknowledgement.
     *
     * @param body JSON
     * @return number of the snapshot that the standby has received completely, 0 for none
     * @throws MalformedException the number is missing or out of its range
     */
    public static long acknowledgement(byte[] body) throws MalformedException {
        return new JsonFields(Json.tree(body), "").count("held", 0, Long.MAX_VALUE);
    }
}
