package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.CloudCall;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Encodes requests to the cloud and decodes its answers. */
public final class CloudCodec {
    private CloudCodec() {}

    /**
     * A page of the list of machines.
     *
     * @param machines the machines of this page
     * @param hasMore whether the list was cut off after this page
     */
    public record Page(List<ListedMachine> machines, boolean hasMore) {}

    public static List<MachineType> types(byte[] body) throws MalformedException {
        List<MachineType> types = new ArrayList<>();
        for (JsonFields type : new JsonFields(Json.tree(body), "").objects("builds")) {
            types.add(type(type));
        }
        return types;
    }

    static MachineType type(JsonFields in) throws MalformedException {
        return new MachineType(
                in.text("label"),
                resources(in),
                in.has("localGb") ? in.amount("localGb") : 0,
                in.has("pullGbPerS") ? in.amount("pullGbPerS") : 0,
                in.amount("hourly"),
                in.has("marketPrice") ? in.amount("marketPrice") : in.amount("hourly"),
                in.seconds("bootS"),
                in.texts("grounds"));
    }

    private static Resources resources(JsonFields in) throws MalformedException {
        return Resources.of(in.amount("cpus"), in.has("cards") ? in.amount("cards") : 0, in.amount("memGb"));
    }

    static void writeType(JsonGenerator out, MachineType type) throws IOException {
        out.writeStartObject();
        out.writeStringField("label", type.name());
        out.writeNumberField("cpus", type.resources().cpus() / 1000.0);
        out.writeNumberField("cards", type.resources().gpus() / 1000.0);
        out.writeNumberField("memGb", type.resources().memory() / 1000.0);
        out.writeNumberField("localGb", type.cacheGb());
        out.writeNumberField("pullGbPerS", type.fetchGbPerSecond());
        out.writeNumberField("hourly", type.price());
        out.writeNumberField("marketPrice", type.spotPrice());
        out.writeNumberField("bootS", Micros.toSeconds(type.bootMicros()));
        out.writeArrayFieldStart("grounds");
        for (String zone : type.zones()) {
            out.writeString(zone);
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    public static byte[] rent(CloudCall.RequestMachines rent) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeStringField("booking", rent.requestName());
            out.writeStringField("build", rent.type());
            out.writeStringField("ground", rent.zone());
            out.writeBooleanField("loaners", rent.spot());
            out.writeNumberField("howMany", rent.count());
            out.writeEndObject();
        });
    }

    public static List<String> rented(byte[] body) throws MalformedException {
        return new JsonFields(Json.tree(body), "").texts("berths");
    }

    /** Returns whether an answer 503 means that the cloud has no capacity; an outage of the cloud is answered 503 too. */
    public static boolean isNoCapacity(byte[] body) {
        try {
            return "no capacity".equals(Json.tree(body).path("error").asText());
        } catch (MalformedException e) {
            return false;
        }
    }

    public static byte[] delete(List<String> machines) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeArrayFieldStart("berths");
            for (String machine : machines) {
                out.writeString(machine);
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    public static Page page(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        List<ListedMachine> machines = new ArrayList<>();
        for (JsonFields in : new JsonFields(tree, "").objects("berths")) {
            machines.add(new ListedMachine(
                    in.text("nameId"),
                    in.text("build"),
                    in.text("ground"),
                    in.flag("loaners"),
                    state(in.text("standing")),
                    in.has("heldS") ? in.seconds("heldS") : 0));
        }
        return new Page(machines, tree.path("truncated").asBoolean());
    }

    private static ListedMachine.State state(String word) {
        return switch (word) {
            case "booting" -> ListedMachine.State.BOOTING;
            case "failed" -> ListedMachine.State.FAILED;
            default -> ListedMachine.State.RUNNING;
        };
    }
}
