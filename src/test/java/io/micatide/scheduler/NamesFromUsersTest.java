package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobKind;
import io.micatide.model.Priority;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a leader keeps by names that users choose is bounded, however many there are, and ends with the job where it belongs to one. */
class NamesFromUsersTest {
    @ParameterizedTest
    @CsvSource({"10, 1000", "100, 1000", "1000, 100", "30000, 3"})
    void onlyTheLatestJobClassesAreKept(int nameLength, int kept) {
        RecentJobClasses<Integer> classes = new RecentJobClasses<>();
        for (int number = 0; number < 3_000; number++) {
            classes.put(name(nameLength, number), number);
            classes.put(name(nameLength, 0), -1);
        }
        int[] found = {0};
        classes.forEach((name, value) -> found[0]++);
        assertEquals(kept, found[0]);
        assertTrue(classes.contains(name(nameLength, 0)), "used all the time");
        assertTrue(classes.contains(name(nameLength, 2_999)));
        assertFalse(classes.contains(name(nameLength, 1)));
    }

    private static String name(int length, int number) {
        String digits = String.valueOf(number);
        return "x".repeat(length - digits.length()) + digits;
    }

    /** Images without a size fit into a cache in any number. */
    @ParameterizedTest
    @CsvSource({"10, 256", "1000, 16"})
    void imagesWithoutASizeAreBounded(int nameLength, int kept) {
        Machine machine = new Machine("i-1", 0);
        for (int number = 0; number < 1_000; number++) {
            machine.touchImage(name(nameLength, number), 0, 25);
        }
        assertEquals(kept, machine.images.size());
        assertTrue(machine.images.containsKey(name(nameLength, 999)));
    }

    /** Guards against cancelled jobs that stay among the jobs to be written until the term ends. */
    @Test
    void aRemovedJobIsNotToBeWritten() {
        OpenJobs jobs = new OpenJobs();
        Job job = jobs.add(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 1, 5), 1, 0, 0, 0);
        jobs.markDirty(job, 5);
        job.cancelled = true;
        assertEquals(List.of(job), jobs.writableJobs());
        jobs.remove(job);
        assertEquals(List.of(), jobs.writableJobs());
        assertEquals(0, jobs.all().size());
    }
}
