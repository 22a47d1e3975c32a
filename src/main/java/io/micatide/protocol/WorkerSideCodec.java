package io.micatide.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.Command;
import io.micatide.model.ExitCause;
import io.micatide.model.Heartbeat;
import io.micatide.model.Micros;
import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;

/** The worker's side of the protocol between workers and controllers, used by simulated workers: encodes heartbeats and decodes answers. */
public final class WorkerSideCodec {
    private WorkerSideCodec() {}

    /**
     * A controller's answer to a heartbeat.
     *
     * @param fencingToken the controller's fencing token, -1 if the answer has none
     * @param commands commands to carry out in this order
     */
    public record Answer(long fencingToken, List<Command> commands) {}

    public static byte[] heartbeat(Heartbeat heartbeat) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeStringField("berth", heartbeat.machine());
            out.writeStringField("addr", heartbeat.address());
            out.writeStringField("build", heartbeat.type());
            out.writeStringField("ground", heartbeat.zone());
            out.writeBooleanField("loaners", heartbeat.spot());
            out.writeNumberField("stint", heartbeat.incarnation());
            out.writeNumberField("tally", heartbeat.sequence());
            out.writeNumberField("armband", heartbeat.fencingToken());
            if (heartbeat.spotNoticeMicros() >= 0) {
                out.writeNumberField("recallS", Micros.toSeconds(heartbeat.spotNoticeMicros()));
            }
            out.writeArrayFieldStart("legs");
            for (TaskStatus task : heartbeat.tasks()) {
                out.writeStartObject();
                out.writeStringField("leg", task.job() + "/" + task.taskIndex());
                out.writeNumberField("throwIn", task.attempt());
                out.writeStringField("standing", wireName(task.state()));
                if (task.cause() != null) {
                    out.writeStringField("cause", wireName(task.cause()));
                }
                if (task.saved()) {
                    out.writeBooleanField("stored", true);
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    private static String wireName(TaskState state) {
        return switch (state) {
            case FETCHING -> "pulling";
            case WAITING -> "waiting";
            case RUNNING -> "running";
            case SAVING -> "flushing";
            case EXITED -> "exited";
        };
    }

    private static String wireName(ExitCause cause) {
        return switch (cause) {
            case DONE -> "done";
            case STOPPED -> "halted";
            case PEERS -> "peers";
            case ALONE -> "alone";
            case ERROR -> "error";
            case NO_ROOM -> "no_room";
            case BUSY -> "in_use";
            case UNKNOWN -> "unknown";
        };
    }

    public static Answer answer(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        List<Command> commands = new ArrayList<>();
        for (JsonNode call : tree.path("calls")) {
            String task = call.path("leg").asText();
            int slash = task.lastIndexOf('/');
            String job = task.substring(0, slash);
            int index = Integer.parseInt(task.substring(slash + 1));
            long attempt = call.path("throwIn").asLong();
            commands.add(
                    switch (call.path("call").asText()) {
                        case "start" -> new Command.Start(job, index, attempt);
                        case "halt" ->
                            new Command.Stop(
                                    job,
                                    index,
                                    attempt,
                                    Micros.ofSeconds(call.path("stoppageS").asDouble()));
                        default -> new Command.Reap(job, index, attempt);
                    });
        }
        return new Answer(tree.path("armband").asLong(-1), commands);
    }

    /** Decodes the incarnation of the worker that a direct message is for, -1 if the message has none. */
    public static long incarnation(byte[] body) throws MalformedException {
        return Json.tree(body).path("stint").asLong(-1);
    }

    /** Decodes the label of the leader in an answer that redirects the worker; null if it has none. */
    public static String redirectTarget(byte[] body) {
        try {
            return Json.tree(body).path("steward").asText(null);
        } catch (MalformedException e) {
            return null;
        }
    }
}
