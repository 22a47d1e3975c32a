package io.micatide.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.store.StoredRecord;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The limit of the memory that accepted jobs may take: never exceeded, shared between teams, and open again once jobs ended. */
class JobMemoryLimitTest {
    private static final long MAX_BYTES = 1 << 20;

    private static StoredRecord.JobRecord job(String id, String team, int names, int nameLength) {
        List<String> all = java.util.Collections.nCopies(names, "n".repeat(nameLength));
        JobSpec spec = new JobSpec(
                        id,
                        "class",
                        team,
                        JobKind.ARRAY,
                        Priority.NORMAL,
                        1,
                        Resources.of(1, 0, 1),
                        "img",
                        1,
                        all,
                        null,
                        false,
                        false,
                        true,
                        1,
                        0,
                        0,
                        -1)
                .withDependencies(all);
        return new StoredRecord.JobRecord(JobState.OPEN, spec, 0, 1);
    }

    private static final Set<String> TEAMS =
            Set.of("blue", "wk-", "team0", "team1", "team2", "team3", "team4", "team5");

    private final JobMemoryUsage usage = new JobMemoryUsage();
    private final JobMemoryLimit limit = new JobMemoryLimit(usage, MAX_BYTES, TEAMS);

    /** Accepts jobs of the team until one is refused, and returns their number. */
    private int fill(String team, int names) {
        int accepted = 0;
        while (true) {
            StoredRecord.JobRecord next = job(team + accepted, team, names, 10);
            if (!limit.admits(team + accepted, next)) {
                return accepted;
            }
            usage.add(team + accepted, next);
            accepted++;
        }
    }

    @ParameterizedTest
    @CsvSource({"0", "10", "300"})
    void oneTeamLeavesRoomForOthers(int names) {
        assertTrue(fill("blue", names) > 0);
        assertTrue(usage.totalBytes() > MAX_BYTES / 2 && usage.totalBytes() <= MAX_BYTES * 4 / 5);
        for (int team = 0; team < 6; team++) {
            assertTrue(fill("team" + team, 0) >= 10, "team " + team);
            assertTrue(usage.totalBytes() <= MAX_BYTES);
        }
    }

    @Test
    void jobsInFlightCount() {
        int accepted = 0;
        while (limit.admits("wk-" + accepted, job("wk-" + accepted, "wk-", 10, 10))) {
            limit.reserve("wk-" + accepted, job("wk-" + accepted, "wk-", 10, 10));
            accepted++;
        }
        assertTrue(accepted > 0);
        for (int i = 0; i < accepted; i++) {
            limit.release("wk-" + i, job("wk-" + i, "wk-", 10, 10));
        }
        assertEquals(accepted, fill("wk-", 10), "as many as in flight");
    }

    @Test
    void roomReturnsWithTheEndOfJobs() {
        int accepted = fill("blue", 100);
        StoredRecord.JobRecord next = job("blue-next", "blue", 100, 10);
        assertFalse(limit.admits("blue-next", next));
        for (int i = 0; i < accepted; i++) {
            usage.remove("blue" + i, job("blue" + i, "blue", 100, 10));
        }
        assertTrue(limit.admits("blue-next", next));
        assertEquals(0, usage.totalBytes());
    }

    /** Every list and text that users fill counts. */
    @Test
    void longTextsAndListsCount() {
        assertFalse(limit.admits("wk-1", job("wk-1", "blue", 1, (int) MAX_BYTES)));
        assertFalse(limit.admits("wk-2", job("wk-2", "blue", (int) MAX_BYTES / 10, 1)));
    }
}
