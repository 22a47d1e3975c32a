package io.micatide.archive;

import io.micatide.model.Micros;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.simulation.SimulatedStore;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** What the store of an {@link ArchiveScenario} holds of jobs: checks it, and changes it as others than this version would. */
final class StoredJobs {
    private final ArchiveScenario day;
    private final SimulatedStore store;

    StoredJobs(ArchiveScenario day) {
        this.day = day;
        this.store = day.state;
    }

    /** What the manifest names is all there and all that is there, and holds what users were told, each job once in records or runs. */
    void check() throws MalformedException, DamagedSegmentException {
        Map<String, Outcomes> found = new TreeMap<>();
        SimulatedStore.Value manifest = store.values().get(StoreKeys.ARCHIVE_MANIFEST);
        if (manifest == null) {
            day.broken.add("no archive");
            return;
        }
        Set<String> named = new HashSet<>();
        for (StoredRecord.ArchiveRun run : ((StoredRecord.ArchiveManifest) row(StoreKeys.ARCHIVE_MANIFEST)).runs()) {
            for (int number = 0; number < run.segments(); number++) {
                String key = StoreKeys.segment(run.name(), number);
                named.add(key);
                if (!store.values().containsKey(key)) {
                    day.broken.add("missing " + key);
                    continue;
                }
                for (ArchivedJob each : SegmentCodec.unpack(key, (StoredRecord.ArchiveSegment) row(key))) {
                    found.computeIfAbsent(each.id(), k -> new Outcomes())
                            .add(each.outcome().state().name());
                }
            }
        }
        int rows = 0;
        for (String key : store.values().keySet()) {
            if (key.startsWith(StoreKeys.ARCHIVE_SEGMENTS) && !named.contains(key)) {
                day.broken.add("unnamed " + key);
            }
            if (key.startsWith("job/wk-") && key.indexOf('/', 4) < 0) {
                rows++;
                found.computeIfAbsent(key.substring(4), k -> new Outcomes())
                        .add(((StoredRecord.JobRecord) row(key)).state().name());
            }
        }
        for (ArchiveUsers.Job job : day.users.jobs.values()) {
            String expected = "done".equals(job.end) ? "[DONE]" : "[CANCELLED]";
            String stored = String.valueOf(found.get(job.id));
            if (job.end != null && !stored.equals(expected)) {
                day.broken.add("stored " + job.id + " " + stored + " and told " + job.end);
            }
        }
        if (rows > 12) {
            day.broken.add(rows + " rows are left");
        }
    }

    private static final class Outcomes extends TreeSet<String> {
        private static final long serialVersionUID = 1L;
    }

    private StoredRecord row(String key) throws MalformedException {
        SimulatedStore.Value value = store.values().get(key);
        return StoreCodec.item(("{\"k\":\"" + key + "\",\"data\":" + new String(value.json(), StandardCharsets.UTF_8)
                                + ",\"stamp\":" + value.version() + "}")
                        .getBytes(StandardCharsets.UTF_8))
                .record();
    }

    /** A record of an open job as a former version puts it: on condition of the record alone. */
    void writeAsFormerVersion(ArchiveUsers.Job job) {
        String row = "{\"state\":\"OPEN\",\"tasks\":" + job.tasks + ",\"submitted\":" + day.users.wall() + ",\"spec\":"
                + new String(day.users.submitted(job), StandardCharsets.UTF_8) + "}";
        day.network
                .from(day.world, "state")
                .post(
                        "/txn",
                        ("{\"if\":[{\"k\":\"job/" + job.id + "\",\"stamp\":0}],\"writes\":[{\"put\":\"job/" + job.id
                                        + "\",\"data\":" + row + "}]}")
                                .getBytes(StandardCharsets.UTF_8),
                        Micros.SECOND,
                        reply -> {
                            if (!reply.ok()) {
                                throw new IllegalStateException("not written " + reply.status());
                            }
                        });
    }

    /** A record of a job that is over, from before the archive. */
    void presetEnded(ArchiveUsers.Job job) {
        String state = job.end.equals("done") ? "DONE" : "CANCELLED";
        store.preset(
                "job/" + job.id,
                ("{\"state\":\"" + state + "\",\"tasks\":" + job.tasks + ",\"submitted\":5}")
                        .getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < job.tasks; i++) {
            day.finished.add(job.id + "/" + i);
        }
    }

    /** Changes a letter of a packed value. */
    void damage(String key) {
        String text = new String(store.values().get(key).json(), StandardCharsets.UTF_8);
        int at = text.indexOf("packed") + 20;
        char other = text.charAt(at) == 'A' ? 'B' : 'A';
        store.preset(key, (text.substring(0, at) + other + text.substring(at + 1)).getBytes(StandardCharsets.UTF_8));
    }
}
