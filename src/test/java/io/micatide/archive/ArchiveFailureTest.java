package io.micatide.archive;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import io.micatide.store.StoreKeys;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the archive while controllers are killed between any two of its steps and responses are lost or late. Every answer to a user
 * must agree with the earlier answers and with the tasks that ran, and the stored jobs must match the answers in the end.
 */
class ArchiveFailureTest {
    /** Returns the violations of a run in which the controller of the given interaction with the store is killed (0: none is killed). */
    private static List<String> violationsAfterKill(
            long seed,
            int interaction,
            boolean killAfterResponse,
            double losses,
            int valueBytes,
            int changes,
            Archiver.Factory factory) {
        try {
            ArchiveScenario scenario = new ArchiveScenario(seed, valueBytes, changes, factory);
            scenario.network.setLossRates(losses, losses);
            scenario.killAfterResponse = killAfterResponse;
            scenario.killAt = interaction;
            scenario.users.runRequests(30);
            scenario.users.awaitFinished();
            new StoredJobs(scenario).check();
            List<String> violations = new ArrayList<>(scenario.violations);
            if (interaction > 0 && interaction <= 380 && scenario.kills == 0) {
                violations.add("no controller was killed");
            }
            return violations.stream()
                    .map(violation -> "seed " + seed + " interaction " + interaction + ": " + violation)
                    .limit(5)
                    .toList();
        } catch (Exception e) {
            throw new IllegalStateException("seed " + seed + " interaction " + interaction, e);
        }
    }

    /** A controller is killed at a random interaction with the store, on networks with and without lost requests and responses. */
    @ParameterizedTest
    @CsvSource({
        "300, 0, 16384, 16",
        "300, 0.01, 16384, 16",
        "200, 0.01, 2048, 5",
        "200, 0.05, 2048, 5",
    })
    void recoversFromAKillAtARandomInteraction(int seeds, double losses, int valueBytes, int changes) {
        // For longer runs outside CI: -Dhistory.seeds=100000.
        List<String> violations = IntStream.range(0, Integer.getInteger("history.seeds", seeds))
                .parallel()
                .boxed()
                .flatMap(seed -> violationsAfterKill(
                        seed,
                        60 + new Random(seed).nextInt(320),
                        seed % 2 == 0,
                        losses,
                        valueBytes,
                        changes,
                        Archiver::new)
                        .stream())
                .toList();
        assertEquals(List.of(), violations);
    }

    /** A controller is killed at each interaction with the store of one run in turn, while records are moved to the archive. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void recoversFromAKillAtEveryInteraction(boolean killAfterResponse) {
        List<String> violations = IntStream.rangeClosed(1, 380)
                .parallel()
                .boxed()
                .flatMap(at -> violationsAfterKill(11, at, killAfterResponse, 0, 2048, 5, Archiver::new).stream())
                .toList();
        assertEquals(List.of(), violations);
    }

    /**
     * A previous version writes job records without consulting the archive, and such a write may arrive minutes after its sender ended.
     * The record of an archived job must not make the job run again or change the answers to its user; the record of a new job must run.
     */
    @Test
    void lateWritesOfAPreviousVersionStartNoArchivedJob() throws Exception {
        for (int seed = 0; seed < 10; seed++) {
            ArchiveScenario scenario = new ArchiveScenario(seed, 16384, 16, Archiver::new);
            scenario.users.runRequests(20);
            scenario.users.awaitFinished();
            ArchiveUsers.Job archived = scenario.users.jobs.values().stream()
                    .filter(job -> "done".equals(job.finalState)
                            && !scenario.store.values().containsKey("job/" + job.id))
                    .findFirst()
                    .orElseThrow();
            ArchiveUsers.Job fresh = scenario.users.createJob("wk-new" + seed);
            fresh.wasAccepted = true;
            new StoredJobs(scenario).writeAsPreviousVersion(archived);
            new StoredJobs(scenario).writeAsPreviousVersion(fresh);
            scenario.time.run(200 * Micros.MILLISECOND);
            scenario.users.poll(archived);
            scenario.users.poll(fresh);
            scenario.users.trySubmit(archived);
            scenario.time.run(20 * Micros.SECOND);
            scenario.users.awaitFinished();
            assertEquals(List.of(), scenario.violations, "seed " + seed);
            assertEquals("done", fresh.finalState);
            assertFalse(
                    scenario.store.values().containsKey("job/" + archived.id),
                    "the record of the archived job was not deleted");
        }
    }

    /**
     * Finished jobs that earlier releases left as records are archived. Their users get the same answers as before, and jobs that await them
     * are started or cancelled accordingly.
     */
    @Test
    void archivesRecordsFromBeforeTheArchive() throws Exception {
        ArchiveScenario scenario = new ArchiveScenario(3, 2048, 5, Archiver::new);
        for (int i = 0; i < 400; i++) {
            ArchiveUsers.Job job = scenario.users.createJob(String.format("wk-old%04d", i));
            job.wasAccepted = true;
            job.finalState = i % 3 == 0 ? "withdrawn" : "done";
            job.wasCancelRequested = i % 3 == 0;
            new StoredJobs(scenario).presetFinished(job);
        }
        scenario.users.runRequests(20);
        scenario.time.run(60 * Micros.SECOND);
        ArchiveUsers.Job startable = scenario.users.submit(1, 5, List.of("wk-old0001", "wk-old0002"));
        ArchiveUsers.Job unstartable = scenario.users.submit(1, 5, List.of("wk-old0003"));
        scenario.users.awaitFinished();
        new StoredJobs(scenario).check();
        assertEquals(List.of(), scenario.violations);
        assertEquals("done", startable.finalState);
        assertEquals("withdrawn", unstartable.finalState);
    }

    /** Jobs in a damaged segment are answered 503, never 404; jobs in other segments are answered as before. */
    @Test
    void damagedSegmentIsNotAnUnknownJob() throws Exception {
        ArchiveScenario scenario = new ArchiveScenario(5, 16384, 16, Archiver::new);
        scenario.users.runRequests(30);
        scenario.users.awaitFinished();
        List<String> segments = scenario.store.values().keySet().stream()
                .filter(key -> key.startsWith(StoreKeys.ARCHIVE_SEGMENTS))
                .toList();
        new StoredJobs(scenario).damage(segments.get(0));
        for (int i = 0; i < 3; i++) {
            scenario.kill(i, 1);
        }
        scenario.time.run(15 * Micros.SECOND);
        int unavailable = 0;
        int answered = 0;
        for (ArchiveUsers.Job job : List.copyOf(scenario.users.jobs.values())) {
            int status = scenario.users.status(job);
            assertTrue(status == 200 || status == 503, job.id + " " + status);
            unavailable += status == 503 ? 1 : 0;
            answered += status == 200 ? 1 : 0;
        }
        assertTrue(unavailable > 0 && answered > 0, unavailable + " and " + answered);
        assertEquals(List.of(), scenario.violations);
    }

    /** Controllers are killed one after the other or all at once while records are moved to the archive. */
    @Test
    void recoversFromManyKills() {
        List<String> violations = LongStream.range(0, 40)
                .parallel()
                .boxed()
                .flatMap(seed -> {
                    ArchiveScenario scenario = new ArchiveScenario(seed, 4096, 8, Archiver::new);
                    Random random = new Random(seed);
                    scenario.network.setLossRates(0.01, 0.005);
                    for (int round = 0; round < 8; round++) {
                        scenario.users.runRequests(6);
                        for (int i = 0; i < 3; i++) {
                            if (random.nextInt(3) == 0) {
                                scenario.kill(i, 1 + random.nextInt(4));
                            }
                        }
                    }
                    scenario.users.awaitFinished();
                    try {
                        new StoredJobs(scenario).check();
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                    return scenario.violations.stream().map(violation -> "seed " + seed + ": " + violation);
                })
                .limit(10)
                .toList();
        assertEquals(List.of(), violations);
    }

    /** Two runs with the same seed do the same; otherwise a failure could not be reproduced. */
    @Test
    void sameSeedGivesTheSameRun() {
        List<Integer> counts = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            ArchiveScenario scenario = new ArchiveScenario(7, 2048, 5, Archiver::new);
            scenario.network.setLossRates(0.02, 0.02);
            scenario.killAt = 400;
            scenario.users.runRequests(30);
            counts.add(scenario.interactions);
            counts.add((int) scenario.store.changeCount());
        }
        assertEquals(counts.subList(0, 2), counts.subList(2, 4));
    }

    /** Checks that the test finds the loss of jobs when records are deleted before they are archived, by removing that guard. */
    @Test
    void deletingRecordsBeforeTheyAreArchivedLosesJobs() {
        Archiver.Factory withoutGuard =
                (fencingToken, limits, manifest, version) -> new Archiver(fencingToken, limits, manifest, version) {
                    @Override
                    boolean isRecordRemovable(String id, long copyOfVersion) {
                        return id.hashCode() % 4 == 0;
                    }
                };
        assertFalse(violationsAfterKill(1, 0, false, 0, 16384, 16, withoutGuard).isEmpty());
        assertTrue(violationsAfterKill(1, 0, false, 0, 16384, 16, Archiver::new).isEmpty());
    }
}
