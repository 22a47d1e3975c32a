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

/** Checks the jobs in the store of an {@link ArchiveScenario}, and writes records there as a previous version or a fault would. */
final class StoredJobs {
    private final ArchiveScenario scenario;
    private final SimulatedStore store;

    StoredJobs(ArchiveScenario scenario) {
        this.scenario = scenario;
        this.store = scenario.store;
    }

    /**
     * Checks that the store holds exactly the segments that the manifest names, and that each finished job is stored with the state that
     * its user was answered, in its record or in the runs of the archive. At most 12 job records may not be archived yet.
     */
    void check() throws MalformedException, DamagedSegmentException {
        Map<String, Outcomes> found = new TreeMap<>();
        SimulatedStore.Value manifest = store.values().get(StoreKeys.ARCHIVE_MANIFEST);
        if (manifest == null) {
            scenario.violations.add("no archive manifest");
            return;
        }
        Set<String> namedSegments = new HashSet<>();
        for (StoredRecord.ArchiveRun run :
                ((StoredRecord.ArchiveManifest) storedRecord(StoreKeys.ARCHIVE_MANIFEST)).runs()) {
            for (int number = 0; number < run.segments(); number++) {
                String key = StoreKeys.segment(run.name(), number);
                namedSegments.add(key);
                if (!store.values().containsKey(key)) {
                    scenario.violations.add("missing segment " + key);
                    continue;
                }
                for (ArchivedJob job : SegmentCodec.unpack(key, (StoredRecord.ArchiveSegment) storedRecord(key))) {
                    found.computeIfAbsent(job.id(), k -> new Outcomes())
                            .add(job.outcome().state().name());
                }
            }
        }
        int recordCount = 0;
        for (String key : store.values().keySet()) {
            if (key.startsWith(StoreKeys.ARCHIVE_SEGMENTS) && !namedSegments.contains(key)) {
                scenario.violations.add("segment not named by the manifest " + key);
            }
            if (key.startsWith("job/wk-") && key.indexOf('/', 4) < 0) {
                recordCount++;
                found.computeIfAbsent(key.substring(4), k -> new Outcomes())
                        .add(((StoredRecord.JobRecord) storedRecord(key))
                                .state()
                                .name());
            }
        }
        for (ArchiveUsers.Job job : scenario.users.jobs.values()) {
            String expected = "done".equals(job.finalState) ? "[DONE]" : "[CANCELLED]";
            String stored = String.valueOf(found.get(job.id));
            if (job.finalState != null && !stored.equals(expected)) {
                scenario.violations.add("stored " + job.id + " " + stored + " but answered " + job.finalState);
            }
        }
        if (recordCount > 12) {
            scenario.violations.add(recordCount + " job records were not archived");
        }
    }

    private static final class Outcomes extends TreeSet<String> {
        private static final long serialVersionUID = 1L;
    }

    private StoredRecord storedRecord(String key) throws MalformedException {
        SimulatedStore.Value value = store.values().get(key);
        return StoreCodec.item(("{\"k\":\"" + key + "\",\"data\":" + new String(value.json(), StandardCharsets.UTF_8)
                                + ",\"stamp\":" + value.version() + "}")
                        .getBytes(StandardCharsets.UTF_8))
                .record();
    }

    /** Writes the record of an open job as a previous version does: on the sole condition that the record does not exist. */
    void writeAsPreviousVersion(ArchiveUsers.Job job) {
        String json =
                "{\"state\":\"OPEN\",\"tasks\":" + job.tasks + ",\"submitted\":" + scenario.users.wallClockMicros()
                        + ",\"spec\":" + new String(scenario.users.submitted(job), StandardCharsets.UTF_8) + "}";
        scenario.network
                .from(scenario.environment, "state")
                .post(
                        "/txn",
                        ("{\"if\":[{\"k\":\"job/" + job.id + "\",\"stamp\":0}],\"writes\":[{\"put\":\"job/" + job.id
                                        + "\",\"data\":" + json + "}]}")
                                .getBytes(StandardCharsets.UTF_8),
                        Micros.SECOND,
                        reply -> {
                            if (!reply.ok()) {
                                throw new IllegalStateException("record not written: status " + reply.status());
                            }
                        });
    }

    /** Stores the record of a finished job as releases without an archive left it. */
    void presetFinished(ArchiveUsers.Job job) {
        String state = job.finalState.equals("done") ? "DONE" : "CANCELLED";
        store.preset(
                "job/" + job.id,
                ("{\"state\":\"" + state + "\",\"tasks\":" + job.tasks + ",\"submitted\":5}")
                        .getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < job.tasks; i++) {
            scenario.finished.add(job.id + "/" + i);
        }
    }

    /** Changes one character of the packed jobs of a segment. */
    void damage(String key) {
        String text = new String(store.values().get(key).json(), StandardCharsets.UTF_8);
        int at = text.indexOf("packed") + 20;
        char other = text.charAt(at) == 'A' ? 'B' : 'A';
        store.preset(key, (text.substring(0, at) + other + text.substring(at + 1)).getBytes(StandardCharsets.UTF_8));
    }
}
