package io.micatide.wire;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.core.JobProgress;
import java.util.ArrayList;
import java.util.List;

/** What controllers tell each other: who leads, and the counts that users are shown. */
public final class PeerCodec {
    private PeerCodec() {
    }

    /**
     * {@code stateServed}: the sender has had answers of the state service just now; {@code first}: the counts of earlier
     * messages of this sender are replaced.
     */
    public record News(long token, String leader, boolean stateServed, boolean first, List<JobProgress> jobs) {
    }

    public static byte[] news(News news) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("token", news.token());
            out.writeStringField("leader", news.leader());
            out.writeBooleanField("stateServed", news.stateServed());
            out.writeBooleanField("first", news.first());
            out.writeArrayFieldStart("jobs");
            for (JobProgress job : news.jobs()) {
                out.writeStartArray();
                out.writeString(job.id());
                out.writeNumber(job.done());
                out.writeNumber(job.running());
                out.writeEndArray();
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    public static News news(byte[] body) throws MalformedException {
        JsonNode tree = Json.tree(body);
        Fields in = new Fields(tree, "");
        List<JobProgress> jobs = new ArrayList<>();
        for (JsonNode job : tree.path("jobs")) {
            jobs.add(new JobProgress(job.path(0).asText(), job.path(1).asInt(), job.path(2).asInt()));
        }
        return new News(in.count("token", 1, Long.MAX_VALUE), in.text("leader"),
                in.has("stateServed") && in.flag("stateServed"), in.flag("first"), jobs);
    }

    /** The answer to news: the highest token that the sibling knows of. */
    public static byte[] highest(long token) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("token", token);
            out.writeEndObject();
        });
    }

    public static long highest(byte[] body) throws MalformedException {
        return new Fields(Json.tree(body), "").count("token", 0, Long.MAX_VALUE);
    }
}
