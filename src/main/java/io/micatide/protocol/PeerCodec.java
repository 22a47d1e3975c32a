package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.CancellationDigest;
import io.micatide.model.JobProgress;
import io.micatide.model.StandbyReadiness;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What controllers tell each other: who leads, the counts that users are shown, and which jobs are known as cancelled. */
public final class PeerCodec {
    private PeerCodec() {}

    /**
     * {@code storeReachable}: the sender has had answers of the state service just now; {@code agentSilenceMicros}: how long no
     * worker has come to it; {@code designatedStandbys}: labels of those that are to take over, in this order, null from a leader that appoints
     * nobody; {@code replacesProgress}: the counts of earlier messages of this sender are replaced; {@code revision}: up to which the sender has read
     * the state service, -1 from a version that does not ask for testimony.
     */
    public record LeaderStatus(
            long fencingToken,
            String leader,
            boolean storeReachable,
            long agentSilenceMicros,
            List<String> designatedStandbys,
            boolean replacesProgress,
            List<JobProgress> jobs,
            long featureFlagsVersion,
            long revision) {
        /** As versions before the switches tell them. */
        public LeaderStatus(
                long fencingToken,
                String leader,
                boolean stateServed,
                long silentMicros,
                List<String> heirs,
                boolean first,
                List<JobProgress> jobs) {
            this(fencingToken, leader, stateServed, silentMicros, heirs, first, jobs, 0, -1);
        }
    }

    /** A controller's word, unasked, that these jobs are cancelled. */
    public record CancellationNotice(List<CancellationDigest.Cancelled> jobs) {}

    /**
     * What a sibling answers: the highest token that it knows of, and how long ago a worker that had lost the leader came to
     * it, or -1; the layout that it reads, 1 for the version before there was such a number; and whether the state service answers
     * it, which versions before layout 3 do not say; how warm it is, null of one that follows nobody; its testimony, null where none was
     * asked for or from a version that gives none.
     */
    public record PeerStatus(
            long fencingToken,
            long strayAgentAgoMicros,
            int layout,
            boolean storeReachable,
            StandbyReadiness readiness,
            CancellationDigest cancellations) {
        public PeerStatus(
                long fencingToken, long strayedAgoMicros, int layout, boolean served, StandbyReadiness readiness) {
            this(fencingToken, strayedAgoMicros, layout, served, readiness, null);
        }

        public PeerStatus withCancellations(CancellationDigest word) {
            return new PeerStatus(fencingToken, strayAgentAgoMicros, layout, storeReachable, readiness, word);
        }
    }

    public static byte[] leaderStatus(LeaderStatus news) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("token", news.fencingToken());
            out.writeStringField("leader", news.leader());
            out.writeBooleanField("stateServed", news.storeReachable());
            out.writeNumberField("silentUs", news.agentSilenceMicros());
            if (news.designatedStandbys() != null) {
                out.writeArrayFieldStart("heirs");
                for (String heir : news.designatedStandbys()) {
                    out.writeString(heir);
                }
                out.writeEndArray();
            }
            out.writeBooleanField("first", news.replacesProgress());
            out.writeArrayFieldStart("jobs");
            for (JobProgress job : news.jobs()) {
                out.writeStartArray();
                out.writeString(job.id());
                out.writeNumber(job.finishedTasks());
                out.writeNumber(job.runningTasks());
                out.writeEndArray();
            }
            out.writeEndArray();
            if (news.featureFlagsVersion() > 0) {
                out.writeNumberField("switches", news.featureFlagsVersion());
            }
            if (news.revision() >= 0) {
                out.writeNumberField("revision", news.revision());
            }
            out.writeEndObject();
        });
    }

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

    public static byte[] peerStatus(PeerStatus answer) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("token", answer.fencingToken());
            out.writeNumberField("strayedUs", answer.strayAgentAgoMicros());
            out.writeNumberField("layout", answer.layout());
            if (answer.storeReachable()) {
                out.writeBooleanField("served", true);
            }
            if (answer.readiness() != null) {
                out.writeStringField("standby", answer.readiness().name());
            }
            if (answer.cancellations() != null) {
                CancellationDigest word = answer.cancellations();
                out.writeObjectFieldStart("testimony");
                out.writeStringField("by", word.controller());
                out.writeNumberField("livedUs", word.uptimeMicros());
                out.writeBooleanField("whole", word.complete());
                writeCancelled(out, word.cancelled());
                out.writeEndObject();
            }
            out.writeEndObject();
        });
    }

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

    public static byte[] cancellationNotice(CancellationNotice message) {
        return Json.bytes(out -> {
            out.writeStartObject();
            writeCancelled(out, message.jobs());
            out.writeEndObject();
        });
    }

    public static CancellationNotice cancellationNotice(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        return new CancellationNotice(cancelled(tree, new JsonFields(tree, "").path("cancelled")));
    }

    /** Null where nothing is said, or a word of a later version. */
    private static StandbyReadiness readiness(JsonNode tree) {
        String word = tree.path("standby").asText("");
        for (StandbyReadiness each : StandbyReadiness.values()) {
            if (each.name().equals(word)) {
                return each;
            }
        }
        return null;
    }

    /** A controller that ends tells an heir up to which revision it has written. */
    public static byte[] handover(long fencingToken, long revision) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("token", fencingToken);
            out.writeNumberField("revision", revision);
            out.writeEndObject();
        });
    }

    /** The revision of a {@link #handover}. */
    public static long handoverRevision(byte[] body) throws MalformedException {
        return new JsonFields(Json.tree(body), "").count("revision", 0, Long.MAX_VALUE);
    }
}
