package io.micatide.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.CloudCall;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import java.util.List;
import java.util.Locale;

/** The protocol of the cloud as the cloud sees it: for its stand-in. */
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

    public static CloudCall.Rent rent(byte[] body) throws MalformedException {
        JsonFields in = new JsonFields(Json.tree(body), "");
        return new CloudCall.Rent(in.text("booking"), in.text("build"), in.text("ground"), in.flag("loaners"), (int)
                in.count("howMany", 1, 50));
    }

    public static CloudCall.Delete delete(byte[] body) throws MalformedException {
        return new CloudCall.Delete(new JsonFields(Json.tree(body), "").texts("berths"));
    }

    /** The answer to a rental. */
    public static byte[] rented(List<String> machines) {
        return CloudCodec.delete(machines);
    }

    public static byte[] list(List<ListedMachine> machines, boolean more) {
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
            out.writeBooleanField("truncated", more);
            out.writeEndObject();
        });
    }

    /** The description of a job from its row in the state service, or null if the row keeps none. */
    public static io.micatide.model.JobSpec jobSpec(byte[] row) throws MalformedException {
        JsonNode spec = Json.tree(row).path("spec");
        return spec.isObject() ? JobCodec.spec(spec) : null;
    }
}
