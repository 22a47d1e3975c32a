package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.Hint;
import io.micatide.model.HintBatch;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The JSON of a leader's hints to a designated standby, and of the stored records of learned state. Compact, since hundreds change in a
 * second: a machine is {@code ["m", name, address, incarnation, flags, image, size, …]}, a job {@code ["j", name, mean, tasks, probes]}
 * with -1 probes if it is not quarantined, a class {@code ["c", name, factor, spread]}; what begins with another letter is passed over.
 */
public final class HintCodec {
    private static final int SLOW = 1;
    private static final int QUARANTINED = 2;
    private static final int DELETED = 4;

    private HintCodec() {}

    /**
     * Encodes a batch of hints.
     *
     * @param batch what to send
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

    /** A field with hints, as they are stored and sent. */
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
        if (hint instanceof Hint.MachineHint each) {
            out.writeString("m");
            out.writeString(each.name());
            out.writeString(each.address());
            out.writeNumber(each.incarnation());
            out.writeNumber(
                    (each.slow() ? SLOW : 0) + (each.quarantined() ? QUARANTINED : 0) + (each.deleted() ? DELETED : 0));
            for (int i = 0; i < each.images().size(); i++) {
                out.writeString(each.images().get(i));
                out.writeNumber(each.imageSizesGb().get(i));
            }
        } else if (hint instanceof Hint.JobHint each) {
            out.writeString("j");
            out.writeString(each.name());
            out.writeNumber(each.meanRuntimeMicros());
            out.writeNumber(each.completedTasks());
            out.writeNumber(each.quarantined() ? each.failedProbes() : -1);
        } else if (hint instanceof Hint.JobClassHint each) {
            out.writeString("c");
            out.writeString(each.name());
            out.writeNumber(each.factor());
            out.writeNumber(each.spread());
        }
    }

    /**
     * Decodes a batch of hints.
     *
     * @param body JSON
     * @return the batch; hints of kinds that this version does not know are left out
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

    /** The field that {@link #write(JsonGenerator, List)} wrote. */
    static List<Hint> hints(JsonNode tree) {
        List<Hint> hints = new ArrayList<>();
        for (JsonNode each : tree.path("hints")) {
            String name = each.path(1).asText();
            switch (each.path(0).asText()) {
                case "m" -> hints.add(machine(name, each));
                case "j" -> hints.add(job(name, each));
                case "c" ->
                    hints.add(new Hint.JobClassHint(
                            name, each.path(2).asDouble(1), each.path(3).asDouble()));
                default -> {
                    // Of a later version.
                }
            }
        }
        return hints;
    }

    private static Hint job(String name, JsonNode each) {
        int failedProbes = each.path(4).asInt(-1);
        return new Hint.JobHint(
                name,
                Math.max(0, each.path(2).asLong()),
                Math.max(0, each.path(3).asInt()),
                failedProbes >= 0,
                Math.max(0, failedProbes));
    }

    private static Hint machine(String name, JsonNode each) {
        List<String> images = new ArrayList<>();
        List<Double> sizes = new ArrayList<>();
        for (int i = 5; i + 1 < each.size(); i += 2) {
            images.add(each.path(i).asText());
            sizes.add(each.path(i + 1).asDouble());
        }
        int flags = each.path(4).asInt();
        return new Hint.MachineHint(
                name,
                each.path(2).asText(),
                Math.max(0, each.path(3).asLong()),
                images,
                sizes,
                (flags & SLOW) != 0,
                (flags & QUARANTINED) != 0,
                (flags & DELETED) != 0);
    }

    /**
     * Encodes a standby's acknowledgement.
     *
     * @param number of the snapshot that it holds completely, 0 for none
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
     * @return number of the snapshot that it holds completely, 0 for none
     * @throws MalformedException the number is missing or out of its range
     */
    public static long acknowledgement(byte[] body) throws MalformedException {
        return new JsonFields(Json.tree(body), "").count("held", 0, Long.MAX_VALUE);
    }
}
