package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.CancellationDigest;
import io.micatide.model.JobProgress;
import io.micatide.model.StandbyReadiness;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The JSON of messages between controllers: status, cancellations, and the handover of leadership. */
public final class PeerCodec {
    private PeerCodec() {}

    /**
     *
     * A leader's status, which it sends to every other controller.
     *
     * @param fencingToken the leader's
     * @param leader the leader's label
     * @param storeReachable whether the store has answered the leader just now
     * @param workersSilentMicros for how long no agent has come to the leader
     * @param designatedStandbys labels of the controllers that are to take over, the first one first; null from a leader that designates
     *     nobody
     * @param replacesProgress whether the progress of earlier messages of this leader is dropped
     * @param jobs progress of jobs, which users are shown
     * @param featureFlagsVersion version of the feature stages that the leader knows, 0 if there is none or from a former version
     * @param revision up to which the leader has read the store, -1 from a version that does not ask for cancellations
     *
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
         * A status as versions without feature stages send it.
         *
         * @param fencingToken the leader's
         * @param leader the leader's label
         * @param storeReachable whether the store has answered the leader just now
         * @param agentSilenceMicros for how long no agent has come to the leader
         * @param designatedStandbys labels of the controllers that are to take over, null if nobody is designated
         * @param replacesProgress whether the progress of earlier messages is dropped
         * @param jobs progress of jobs
         */
        public LeaderStatus(
                long fencingToken,
                String leader,
                boolean storeReachable,
                long agentSilenceMicros,
                List<String> designatedStandbys,
                boolean replacesProgress,
                List<JobProgress> jobs) {
            this(
                    fencingToken,
                    leader,
                    storeReachable,
                    agentSilenceMicros,
                    designatedStandbys,
                    replacesProgress,
                    jobs,
                    0,
                    -1);
        }
    }

    /**
     * Jobs that a controller reports, unasked, as cancelled.
     *
     * @param jobs those jobs, each with the version of its record
     */
    public record CancellationNotice(List<CancellationDigest.Cancelled> jobs) {}

    /**
     * A controller's answer to a {@link LeaderStatus}.
     *
     * @param fencingToken the highest one that it knows of
     * @param workerLostLeaderAgoMicros how long ago an agent that had lost the leader came to it, -1 for never
     * @param layout the stored layout that it reads, 1 from the version before layouts had numbers
     * @param storeReachable whether the store answers it; versions before layout 3 do not say
     * @param readiness how ready it is to take over, null of one that cannot follow a leader
     * @param cancellations what it knows as cancelled; null if it was not asked for or from a version that does not say
     */
    public record PeerStatus(
            long fencingToken,
            long workerLostLeaderAgoMicros,
            int layout,
            boolean storeReachable,
            StandbyReadiness readiness,
            CancellationDigest cancellations) {
        /**
         * A status without cancellations.
         *
         * @param fencingToken the highest one that it knows of
         * @param strayAgentAgoMicros how long ago an agent that had lost the leader came to it, -1 for never
         * @param layout the stored layout that it reads
         * @param storeReachable whether the store answers it
         * @param readiness how ready it is to take over, may be null
         */
        public PeerStatus(
                long fencingToken,
                long strayAgentAgoMicros,
                int layout,
                boolean storeReachable,
                StandbyReadiness readiness) {
            this(fencingToken, strayAgentAgoMicros, layout, storeReachable, readiness, null);
        }

        /**
         * The same status with cancellations.
         *
         * @param digest what the controller knows as cancelled, may be null
         * @return a copy
         */
        public PeerStatus withCancellations(CancellationDigest digest) {
            return new PeerStatus(fencingToken, workerLostLeaderAgoMicros, layout, storeReachable, readiness, digest);
        }
    }

    /**
     * Encodes a leader's status.
     *
     * @param status what to send
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
     * @param status what to send
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
        for (CancellationDigest.Cancelled each : jobs) {
            out.writeStartArray();
            out.writeString(each.job());
            out.writeNumber(each.version());
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
        for (JsonNode each : list) {
            String job = each.path(0).asText("");
            if (!JobCodec.isId(job)
                    || !each.path(1).isIntegralNumber()
                    || each.path(1).asLong() < 1) {
                throw new MalformedException(
                        path + "[" + result.size() + "]", "must be a job's id and its row's version");
            }
            result.add(new CancellationDigest.Cancelled(job, each.path(1).asLong()));
        }
        return result;
    }

    /**
     * Encodes a notice of cancelled jobs.
     *
     * @param message what to send
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
     * @throws MalformedException the list is missing or wrong; the message names the place
     */
    public static CancellationNotice cancellationNotice(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        return new CancellationNotice(cancelled(tree, new JsonFields(tree, "").path("cancelled")));
    }

    /** Null where nothing is said, or a constant of a later version. */
    private static StandbyReadiness readiness(JsonNode tree) {
        String name = tree.path("standby").asText("");
        for (StandbyReadiness each : StandbyReadiness.values()) {
            if (each.name().equals(name)) {
                return each;
            }
        }
        return null;
    }

    /**
     * Encodes the message by which a leader that ends hands over to a designated standby.
     *
     * @param fencingToken the leader's
     * @param revision up to which the leader has written
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
     * @return up to which the leader has written
     * @throws MalformedException the revision is missing or wrong
     */
    public static long handoverRevision(byte[] body) throws MalformedException {
        return new JsonFields(Json.tree(body), "").count("revision", 0, Long.MAX_VALUE);
    }
}
