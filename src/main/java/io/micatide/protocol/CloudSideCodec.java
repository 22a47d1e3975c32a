package io.micatide.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.CloudCall;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import java.util.List;
import java.util.Locale;

/** The cloud's side of the cloud protocol, used by the simulated cloud: decodes requests and encodes answers. */
public final class CloudSideCodec {
    private CloudSideCodec() {}

    public static byte[] types(List<MachineType> types) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeArrayFieldStart("builds");
            for (MachineType type : types) {
                CloudCodec.writeType(out, type);
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    public static CloudCall.RequestMachines rent(byte[] body) throws MalformedException {
        JsonFields in = new JsonFields(Json.tree(body), "");
        return new CloudCall.RequestMachines(
                in.text("booking"), in.text("build"), in.text("ground"), in.flag("loaners"), (int)
                        in.count("howMany", 1, 50));
    }

    public static CloudCall.DeleteMachines delete(byte[] body) throws MalformedException {
        return new CloudCall.DeleteMachines(new JsonFields(Json.tree(body), "").texts("berths"));
    }

    /** Encodes the answer to a rental request. */
    public static byte[] rented(List<String> machines) {
        return CloudCodec.delete(machines);
    }

    public static byte[] list(List<ListedMachine> machines, boolean hasMore) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeArrayFieldStart("berths");
            for (ListedMachine machine : machines) {
                out.writeStartObject();
                out.writeStringField("nameId", machine.name());
                out.writeStringField("addr", machine.name() + ":9000");
                out.writeStringField("build", machine.type());
                out.writeStringField("ground", machine.zone());
                out.writeBooleanField("loaners", machine.spot());
                out.writeStringField("standing", machine.state().name().toLowerCase(Locale.ROOT));
                out.writeNumberField("heldS", Micros.toSeconds(machine.ageMicros()));
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeBooleanField("truncated", hasMore);
            out.writeEndObject();
        });
    }

    /** Decodes the specification of a job from its record in the store; null if the record has none. */
    public static io.micatide.model.JobSpec jobSpec(byte[] value) throws MalformedException {
        JsonNode spec = Json.tree(value).path("spec");
        return spec.isObject() ? JobCodec.spec(spec) : null;
    }
}
