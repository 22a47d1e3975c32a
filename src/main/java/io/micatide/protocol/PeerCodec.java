package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.CancellationDigest;
import io.micatide.model.JobProgress;
import io.micatide.model.StandbyReadiness;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes the messages between controllers as JSON: status, cancellations, and the handover of leadership. */
public final class PeerCodec {
    private PeerCodec() {}

    /**
     * A leader's status, which it sends to every other controller.
     *
     * @param fencingToken the leader's fencing token
     * @param leader the leader's label
     * @param storeReachable whether the store answers the leader
     * @param workersSilentMicros how long the leader has received no heartbeat, in microseconds
     * @param designatedStandbys labels of the designated standbys, in order of succession; null if the leader designates none
     * @param replacesProgress whether this progress replaces that of earlier messages of this leader
     * @param jobs progress of jobs, as shown to users
     * @param featureFlagsVersion version of the feature stages that the leader has read, 0 if there are none or from a previous version
     * @param revision store revision up to which the leader has read; -1 from a version that does not ask for cancellations
     */
    public record LeaderStatus(
            long fencingToken,
            String leader,
            boolean storeReachable,
            long workersSilentMicros,
            List<String> designatedStandbys,
            boolean replacesProgress,
            List<JobProgress> jobs,
            long featureFlagsVersion,
            long revision) {
        /**
         * Creates a status as versions without feature stages send it.
         *
         * @param fencingToken the leader's fencing token
         * @param leader the leader's label
         * @param storeReachable whether the store answers the leader
         * @param workersSilentMicros how long the leader has received no heartbeat, in microseconds
         * @param designatedStandbys labels of the designated standbys, null if the leader designates none
         * @param replacesProgress whether this progress replaces that of earlier messages
         * @param jobs progress of jobs
         */
        public LeaderStatus(
                long fencingToken,
                String leader,
                boolean storeReachable,
                long workersSilentMicros,
                List<String> designatedStandbys,
                boolean replacesProgress,
                List<JobProgress> jobs) {
            this(
                    fencingToken,
                    leader,
                    storeReachable,
                    workersSilentMicros,
                    designatedStandbys,
                    replacesProgress,
                    jobs,
                    0,
                    -1);
        }
    }

    /**
     * Cancelled jobs that a controller reports without a request.
     *
     * @param jobs the cancelled jobs, each with the version of its record
     */
    public record CancellationNotice(List<CancellationDigest.Cancelled> jobs) {}

    /**
     * A controller's answer to a {@link LeaderStatus}.
     *
     * @param fencingToken highest fencing token that the controller knows
     * @param workerLostLeaderAgoMicros time in microseconds since a worker that had lost the leader contacted this controller, or -1 if
     *     none did recently
     * @param layout number of the stored layout that the controller reads, 1 from the version before layouts had numbers
     * @param storeReachable whether the store answers the controller; false from versions before layout 3, which do not report it
     * @param readiness how ready the controller is to lead, null if it cannot follow a leader or is shutting down
     * @param cancellations cancelled jobs that the controller knows; null if it was not asked for them or runs a version without them
     */
    public record PeerStatus(
            long fencingToken,
            long workerLostLeaderAgoMicros,
            int layout,
            boolean storeReachable,
            StandbyReadiness readiness,
            CancellationDigest cancellations) {
        /**
         * Creates a status without cancellations.
         *
         * @param fencingToken highest fencing token that the controller knows
         * @param workerLostLeaderAgoMicros time in microseconds since a worker that had lost the leader contacted this controller, or -1 if
         *     none did recently
         * @param layout number of the stored layout that the controller reads
         * @param storeReachable whether the store answers the controller
         * @param readiness how ready the controller is to lead, may be null
         */
        public PeerStatus(
                long fencingToken,
                long workerLostLeaderAgoMicros,
                int layout,
                boolean storeReachable,
                StandbyReadiness readiness) {
            this(fencingToken, workerLostLeaderAgoMicros, layout, storeReachable, readiness, null);
        }

        /**
         * Returns this status with cancellations.
         *
         * @param digest cancelled jobs that the controller knows, may be null
         * @return a copy
         */
        public PeerStatus withCancellations(CancellationDigest digest) {
            return new PeerStatus(fencingToken, workerLostLeaderAgoMicros, layout, storeReachable, readiness, digest);
        }
    }

    /**
     * Encodes a leader's status.
     *
     * @param status the status
     * @return JSON
     */
    public static byte[] leaderStatus(LeaderStatus status) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("token", status.fencingToken());
            out.writeStringField("leader", status.leader());
            out.writeBooleanField("stateServed", status.storeReachable());
            out.writeNumberField("silentUs", status.workersSilentMicros());
            if (status.designatedStandbys() != null) {
                out.writeArrayFieldStart("heirs");
                for (String standby : status.designatedStandbys()) {
                    out.writeString(standby);
                }
                out.writeEndArray();
            }
            out.writeBooleanField("first", status.replacesProgress());
            out.writeArrayFieldStart("jobs");
            for (JobProgress job : status.jobs()) {
                out.writeStartArray();
                out.writeString(job.id());
                out.writeNumber(job.finishedTasks());
                out.writeNumber(job.runningTasks());
                out.writeEndArray();
            }
            out.writeEndArray();
            if (status.featureFlagsVersion() > 0) {
                out.writeNumberField("switches", status.featureFlagsVersion());
            }
            if (status.revision() >= 0) {
                out.writeNumberField("revision", status.revision());
            }
            out.writeEndObject();
        });
    }

    /**
     * Decodes a leader's status.
     *
     * @param body JSON
     * @return the status
     * @throws MalformedException a field is missing or wrong; the message names it
     */
    public static LeaderStatus leaderStatus(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        JsonFields in = new JsonFields(tree, "");
        List<JobProgress> jobs = new ArrayList<>();
        for (JsonNode job : tree.path("jobs")) {
            jobs.add(new JobProgress(
                    job.path(0).asText(), job.path(1).asInt(), job.path(2).asInt()));
        }
        return new LeaderStatus(
                in.count("token", 1, Long.MAX_VALUE),
                in.text("leader"),
                in.has("stateServed") && in.flag("stateServed"),
                tree.path("silentUs").asLong(0),
                in.has("heirs") ? in.texts("heirs") : null,
                in.flag("first"),
                jobs,
                tree.path("switches").asLong(0),
                in.has("revision") ? in.count("revision", 0, Long.MAX_VALUE) : -1);
    }

    /**
     * Encodes an answer to a leader's status.
     *
     * @param status the status
     * @return JSON
     */
    public static byte[] peerStatus(PeerStatus status) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("token", status.fencingToken());
            out.writeNumberField("strayedUs", status.workerLostLeaderAgoMicros());
            out.writeNumberField("layout", status.layout());
            if (status.storeReachable()) {
                out.writeBooleanField("served", true);
            }
            if (status.readiness() != null) {
                out.writeStringField("standby", status.readiness().name());
            }
            if (status.cancellations() != null) {
                CancellationDigest digest = status.cancellations();
                out.writeObjectFieldStart("testimony");
                out.writeStringField("by", digest.controller());
                out.writeNumberField("livedUs", digest.uptimeMicros());
                out.writeBooleanField("whole", digest.complete());
                writeCancelled(out, digest.cancelled());
                out.writeEndObject();
            }
            out.writeEndObject();
        });
    }

    /**
     * Decodes an answer to a leader's status.
     *
     * @param body JSON
     * @return the answer
     * @throws MalformedException a field is missing or wrong; the message names it
     */
    public static PeerStatus peerStatus(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        JsonFields in = new JsonFields(tree, "");
        return new PeerStatus(
                in.count("token", 0, Long.MAX_VALUE),
                tree.path("strayedUs").asLong(-1),
                tree.path("layout").asInt(1),
                tree.path("served").asBoolean(false),
                readiness(tree),
                in.has("testimony") ? cancellationDigest(in.object("testimony"), tree.path("testimony")) : null);
    }

    private static CancellationDigest cancellationDigest(JsonFields in, JsonNode tree) throws MalformedException {
        return new CancellationDigest(
                in.text("by"),
                in.count("livedUs", 0, Long.MAX_VALUE),
                in.flag("whole"),
                cancelled(tree, in.path("cancelled")));
    }

    private static void writeCancelled(JsonGenerator out, List<CancellationDigest.Cancelled> jobs) throws IOException {
        out.writeArrayFieldStart("cancelled");
        for (CancellationDigest.Cancelled cancelled : jobs) {
            out.writeStartArray();
            out.writeString(cancelled.job());
            out.writeNumber(cancelled.version());
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    private static List<CancellationDigest.Cancelled> cancelled(JsonNode tree, String path) throws MalformedException {
        JsonNode list = tree.path("cancelled");
        if (!list.isArray()) {
            throw new MalformedException(path, "must be a list of jobs with their versions");
        }
        List<CancellationDigest.Cancelled> result = new ArrayList<>();
        for (JsonNode entry : list) {
            String job = entry.path(0).asText("");
            if (!JobCodec.isId(job)
                    || !entry.path(1).isIntegralNumber()
                    || entry.path(1).asLong() < 1) {
                throw new MalformedException(
                        path + "[" + result.size() + "]", "must be a job's id and its row's version");
            }
            result.add(new CancellationDigest.Cancelled(job, entry.path(1).asLong()));
        }
        return result;
    }

    /**
     * Encodes a notice of cancelled jobs.
     *
     * @param message the notice
     * @return JSON
     */
    public static byte[] cancellationNotice(CancellationNotice message) {
        return Json.bytes(out -> {
            out.writeStartObject();
            writeCancelled(out, message.jobs());
            out.writeEndObject();
        });
    }

    /**
     * Decodes a notice of cancelled jobs.
     *
     * @param body JSON
     * @return the notice
     * @throws MalformedException the list is missing or wrong; the message names the entry
     */
    public static CancellationNotice cancellationNotice(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        return new CancellationNotice(cancelled(tree, new JsonFields(tree, "").path("cancelled")));
    }

    /** Returns null if the field is missing or has a value of a later version. */
    private static StandbyReadiness readiness(JsonNode tree) {
        String name = tree.path("standby").asText("");
        for (StandbyReadiness readiness : StandbyReadiness.values()) {
            if (readiness.name().equals(name)) {
                return readiness;
            }
        }
        return null;
    }

    /**
     * Encodes the message with which a leader that shuts down hands over to a designated standby.
     *
     * @param fencingToken the leader's fencing token
     * @param revision store revision up to which the leader has written
     * @return JSON
     */
    public static byte[] handover(long fencingToken, long revision) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("token", fencingToken);
            out.writeNumberField("revision", revision);
            out.writeEndObject();
        });
    }

    /**
     * Decodes the revision of a {@link #handover}.
     *
     * @param body JSON
     * @return store revision up to which the leader has written
     * @throws MalformedException the revision is missing or wrong
     */
    public static long handoverRevision(byte[] body) throws MalformedException {
        return new JsonFields(Json.tree(body), "").count("revision", 0, Long.MAX_VALUE);
    }
}
