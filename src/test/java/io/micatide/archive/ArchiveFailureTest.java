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
 * The archive while controllers are killed between any two of its steps and answers are lost or late: every answer that a user ever
 * gets agrees with the ones before it and with where tasks ran, and what is stored in the end is what users were told.
 */
class ArchiveFailureTest {
    /** What is wrong with a day on which the controller that does this interaction with the state service is killed. */
    private static List<String> killed(
            long seed,
            int interaction,
            boolean afterwards,
            double losses,
            int valueBytes,
            int changes,
            Archiver.Factory factory) {
        try {
            ArchiveScenario day = new ArchiveScenario(seed, valueBytes, changes, factory);
            day.network.setLossRates(losses, losses);
            day.killAfterwards = afterwards;
            day.killAt = interaction;
            day.users.busy(30);
            day.users.settle();
            new StoredJobs(day).check();
            List<String> broken = new ArrayList<>(day.broken);
            if (interaction > 0 && interaction <= 380 && day.kills == 0) {
                broken.add("nothing was killed");
            }
            return broken.stream()
                    .map(each -> "seed " + seed + " interaction " + interaction + ": " + each)
                    .limit(5)
                    .toList();
        } catch (Exception e) {
            throw new IllegalStateException("seed " + seed + " interaction " + interaction, e);
        }
    }

    /** At random points and between every two steps of a stretch: interactions until the kill, with lost and late requests. */
    @ParameterizedTest
    @CsvSource({
        "300, 0, 16384, 16",
        "300, 0.01, 16384, 16",
        "200, 0.01, 2048, 5",
        "200, 0.05, 2048, 5",
    })
    void recoversFromAKillAtARandomInteraction(int seeds, double losses, int valueBytes, int changes) {
        // Outside CI: -Dhistory.seeds=100000.
        List<String> broken = IntStream.range(0, Integer.getInteger("history.seeds", seeds))
                .parallel()
                .boxed()
                .flatMap(seed -> killed(
                        seed,
                        60 + new Random(seed).nextInt(320),
                        seed % 2 == 0,
                        losses,
                        valueBytes,
                        changes,
                        Archiver::new)
                        .stream())
                .toList();
        assertEquals(List.of(), broken);
    }

    /** Each interaction of one day, one after the other: what a controller asks of the state service while rows move. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void recoversFromAKillAtEveryInteraction(boolean afterwards) {
        List<String> broken = IntStream.rangeClosed(1, 380)
                .parallel()
                .boxed()
                .flatMap(at -> killed(11, at, afterwards, 0, 2048, 5, Archiver::new).stream())
                .toList();
        assertEquals(List.of(), broken);
    }

    /**
     * Rows that a former version wrote without asking the archive: one of a job that was archived, which must not run again and
     * whose user must not hear of it, and one of a new job, which must run. Such a write may arrive minutes after its sender ended.
     */
    @Test
    void lateWritesOfAFormerVersionStartNoArchivedJob() throws Exception {
        for (int seed = 0; seed < 10; seed++) {
            ArchiveScenario day = new ArchiveScenario(seed, 16384, 16, Archiver::new);
            day.users.busy(20);
            day.users.settle();
            ArchiveUsers.Job old = day.users.jobs.values().stream()
                    .filter(job -> "done".equals(job.end) && !day.state.values().containsKey("job/" + job.id))
                    .findFirst()
                    .orElseThrow();
            ArchiveUsers.Job fresh = day.users.describe("wk-new" + seed);
            fresh.accepted = true;
            new StoredJobs(day).writeAsFormerVersion(old);
            new StoredJobs(day).writeAsFormerVersion(fresh);
            day.time.run(200 * Micros.MILLISECOND);
            day.users.poll(old);
            day.users.poll(fresh);
            day.users.trySubmit(old);
            day.time.run(20 * Micros.SECOND);
            day.users.settle();
            assertEquals(List.of(), day.broken, "seed " + seed);
            assertEquals("done", fresh.end);
            assertFalse(day.state.values().containsKey("job/" + old.id), "its row goes again");
        }
    }

    /** What earlier landings left in rows is taken in, and told as before, also to who submits it again or needs it. */
    @Test
    void archivesRecordsFromBeforeTheArchive() throws Exception {
        ArchiveScenario day = new ArchiveScenario(3, 2048, 5, Archiver::new);
        for (int i = 0; i < 400; i++) {
            ArchiveUsers.Job job = day.users.describe(String.format("wk-old%04d", i));
            job.accepted = true;
            job.end = i % 3 == 0 ? "withdrawn" : "done";
            job.cancelAsked = i % 3 == 0;
            new StoredJobs(day).presetEnded(job);
        }
        day.users.busy(20);
        day.time.run(60 * Micros.SECOND);
        ArchiveUsers.Job after = day.users.submit(1, 5, List.of("wk-old0001", "wk-old0002"));
        ArchiveUsers.Job never = day.users.submit(1, 5, List.of("wk-old0003"));
        day.users.settle();
        new StoredJobs(day).check();
        assertEquals(List.of(), day.broken);
        assertEquals("done", after.end);
        assertEquals("withdrawn", never.end);
    }

    /** A value that is not what was written is answered 503, never 404, and the jobs beside it are answered as before. */
    @Test
    void damagedSegmentIsNotAnUnknownJob() throws Exception {
        ArchiveScenario day = new ArchiveScenario(5, 16384, 16, Archiver::new);
        day.users.busy(30);
        day.users.settle();
        List<String> segments = day.state.values().keySet().stream()
                .filter(key -> key.startsWith(StoreKeys.ARCHIVE_SEGMENTS))
                .toList();
        new StoredJobs(day).damage(segments.get(0));
        for (int i = 0; i < 3; i++) {
            day.kill(i, 1);
        }
        day.time.run(15 * Micros.SECOND);
        int unavailable = 0;
        int told = 0;
        for (ArchiveUsers.Job job : List.copyOf(day.users.jobs.values())) {
            int status = day.users.status(job);
            assertTrue(status == 200 || status == 503, job.id + " " + status);
            unavailable += status == 503 ? 1 : 0;
            told += status == 200 ? 1 : 0;
        }
        assertTrue(unavailable > 0 && told > 0, unavailable + " and " + told);
        assertEquals(List.of(), day.broken);
    }

    /** Controllers end one after the other, also all at once, while rows move. */
    @Test
    void recoversFromManyKills() {
        List<String> broken = LongStream.range(0, 40)
                .parallel()
                .boxed()
                .flatMap(seed -> {
                    ArchiveScenario day = new ArchiveScenario(seed, 4096, 8, Archiver::new);
                    Random random = new Random(seed);
                    day.network.setLossRates(0.01, 0.005);
                    for (int round = 0; round < 8; round++) {
                        day.users.busy(6);
                        for (int i = 0; i < 3; i++) {
                            if (random.nextInt(3) == 0) {
                                day.kill(i, 1 + random.nextInt(4));
                            }
                        }
                    }
                    day.users.settle();
                    try {
                        new StoredJobs(day).check();
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                    return day.broken.stream().map(each -> "seed " + seed + ": " + each);
                })
                .limit(10)
                .toList();
        assertEquals(List.of(), broken);
    }

    /** One seed, one day: otherwise a failure found could not be looked at again. */
    @Test
    void sameSeedGivesTheSameDay() {
        List<Integer> first = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            ArchiveScenario day = new ArchiveScenario(7, 2048, 5, Archiver::new);
            day.network.setLossRates(0.02, 0.02);
            day.killAt = 400;
            day.users.busy(30);
            first.add(day.interactions);
            first.add((int) day.state.changeCount());
        }
        assertEquals(first.subList(0, 2), first.subList(2, 4));
    }

    /** The guard of the order of two writes: with it taken out, jobs that users were told of are lost. */
    @Test
    void deletingRecordsBeforeTheyAreArchivedLosesJobs() {
        Archiver.Factory hasty =
                (fencingToken, limits, manifest, version) -> new Archiver(fencingToken, limits, manifest, version) {
                    @Override
                    boolean isRecordRemovable(String id, long copyOfVersion) {
                        return id.hashCode() % 4 == 0;
                    }
                };
        assertFalse(killed(1, 0, false, 0, 16384, 16, hasty).isEmpty());
        assertTrue(killed(1, 0, false, 0, 16384, 16, Archiver::new).isEmpty());
    }
}
