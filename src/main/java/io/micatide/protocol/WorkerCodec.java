package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.micatide.model.Command;
import io.micatide.model.ExitCause;
import io.micatide.model.Heartbeat;
import io.micatide.model.Micros;
import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Decodes heartbeats of workers and encodes the answers. Heartbeats are most of the traffic, so they are parsed as a stream, without a tree. */
public final class WorkerCodec {
    /** Keeps a line of an answer below the 64 KiB that the protocol allows, with the longest ids as well. */
    private static final int MAX_COMMANDS_IN_LINE = 256;

    private WorkerCodec() {}

    public static Heartbeat heartbeat(byte[] body) throws MalformedException {
        try (JsonParser in = Json.FACTORY.createParser(body)) {
            return read(in);
        } catch (IOException | NumberFormatException e) {
            throw new MalformedException("body", "is not a report");
        }
    }

    private static Heartbeat read(JsonParser in) throws IOException, MalformedException {
        if (in.nextToken() != JsonToken.START_OBJECT) {
            throw new MalformedException("body", "is not an object");
        }
        String machine = null;
        String address = null;
        String type = null;
        String zone = null;
        boolean spot = false;
        long incarnation = -1;
        long sequence = -1;
        long fencingToken = -1;
        long notice = -1;
        List<TaskStatus> tasks = null;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            JsonToken value = in.nextToken();
            if (value == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "berth" -> machine = in.getValueAsString();
                case "addr" -> address = in.getValueAsString();
                case "build" -> type = in.getValueAsString();
                case "ground" -> zone = in.getValueAsString();
                case "loaners" -> spot = in.getValueAsBoolean();
                case "stint" -> incarnation = in.getLongValue();
                case "tally" -> sequence = in.getLongValue();
                case "armband" -> fencingToken = in.getLongValue();
                case "recallS" -> notice = Micros.ofSeconds(in.getDoubleValue());
                case "legs" -> tasks = tasks(in);
                default -> in.skipChildren();
            }
        }
        require(machine, "berth");
        require(type, "build");
        require(zone, "ground");
        require(tasks, "legs");
        require(incarnation < 0 ? null : incarnation, "stint");
        require(sequence < 0 ? null : sequence, "tally");
        require(fencingToken < 0 ? null : fencingToken, "armband");
        return new Heartbeat(machine, address, type, zone, spot, incarnation, sequence, fencingToken, notice, tasks);
    }

    private static void require(Object value, String field) throws MalformedException {
        if (value == null) {
            throw new MalformedException(field, "is missing");
        }
    }

    private static List<TaskStatus> tasks(JsonParser in) throws IOException, MalformedException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new MalformedException("legs", "must be a list");
        }
        List<TaskStatus> result = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
            result.add(task(in));
        }
        return result;
    }

    private static TaskStatus task(JsonParser in) throws IOException, MalformedException {
        String task = null;
        long attempt = -1;
        TaskState state = null;
        ExitCause cause = null;
        boolean saved = false;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "leg" -> task = in.getValueAsString();
                case "throwIn" -> attempt = in.getLongValue();
                case "standing" -> state = state(in.getValueAsString());
                case "cause" -> cause = in.currentToken() == JsonToken.VALUE_NULL ? null : cause(in.getValueAsString());
                case "stored" -> saved = in.getValueAsBoolean();
                default -> in.skipChildren();
            }
        }
        int slash = task == null ? -1 : task.lastIndexOf('/');
        if (slash < 0 || attempt < 0 || state == null) {
            throw new MalformedException("legs", "has an incomplete entry");
        }
        if (state == TaskState.EXITED && cause == null) {
            cause = ExitCause.ERROR;
        }
        return new TaskStatus(
                task.substring(0, slash), Integer.parseInt(task.substring(slash + 1)), attempt, state, cause, saved);
    }

    private static TaskState state(String word) throws MalformedException {
        return switch (word) {
            case "pulling" -> TaskState.FETCHING;
            case "waiting" -> TaskState.WAITING;
            case "running" -> TaskState.RUNNING;
            case "flushing" -> TaskState.SAVING;
            case "exited" -> TaskState.EXITED;
            default -> throw new MalformedException("standing", "is not a task's state");
        };
    }

    private static ExitCause cause(String word) throws MalformedException {
        return switch (word) {
            case "done" -> ExitCause.DONE;
            case "halted" -> ExitCause.STOPPED;
            case "peers" -> ExitCause.PEERS;
            case "alone" -> ExitCause.ALONE;
            case "error" -> ExitCause.ERROR;
            case "no_room" -> ExitCause.NO_ROOM;
            case "in_use" -> ExitCause.BUSY;
            case "unknown" -> ExitCause.UNKNOWN;
            default -> throw new MalformedException("cause", "is not a cause");
        };
    }

    public static byte[] answer(long fencingToken, List<Command> commands) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("armband", fencingToken);
            out.writeArrayFieldStart("calls");
            int inLine = 0;
            for (Command command : commands) {
                if (++inLine > MAX_COMMANDS_IN_LINE) {
                    out.writeRaw('\n');
                    inLine = 1;
                }
                out.writeStartObject();
                out.writeStringField("call", wireName(command));
                out.writeStringField("leg", command.job() + "/" + command.taskIndex());
                out.writeNumberField("throwIn", command.attempt());
                if (command instanceof Command.Stop stop) {
                    out.writeNumberField("stoppageS", Micros.toSeconds(stop.graceMicros()));
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    private static String wireName(Command command) {
        if (command instanceof Command.Start) {
            return "start";
        }
        return command instanceof Command.Stop ? "halt" : "reap";
    }

    /** Encodes the announcement of a new term to a worker: a fencing token without commands, sent outside an answer to a heartbeat. */
    public static byte[] termAnnouncement(long fencingToken, long incarnation) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("armband", fencingToken);
            out.writeNumberField("stint", incarnation);
            out.writeArrayFieldStart("calls");
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    /** Encodes the answer that redirects a worker to the leader. With a null label the worker tries the next controller. */
    public static byte[] redirection(String leader) {
        return Json.bytes(out -> {
            out.writeStartObject();
            if (leader != null) {
                out.writeStringField("steward", leader);
            }
            out.writeEndObject();
        });
    }
}
