package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.jobs.DependencyAdmission;
import io.micatide.jobs.JobCache;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Settings;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** States of jobs with dependencies, derived from the job records alone, independent of the order of reading. */
class DependencyGraphTest {
    private static JobSpec spec(String id, List<String> dependencies) {
        return SchedulerHarness.job(id, JobKind.ARRAY, "blue", Priority.NORMAL, 2, 5)
                .withDependencies(dependencies);
    }

    /** Applies steps: {@code b<a} (a record that depends on others), {@code +a} (done), {@code -a} (cancelled), oldest first. */
    private static void applySteps(JobCache jobCache, List<String> steps, long firstVersion) {
        long version = firstVersion;
        for (String step : steps) {
            version++;
            if (step.startsWith("+") || step.startsWith("-")) {
                JobState state = step.startsWith("+") ? JobState.DONE : JobState.CANCELLED;
                jobCache.apply(
                        step.substring(1),
                        new StoredRecord.JobRecord(state, null, 0, 2, state == JobState.DONE ? version : -1, 0),
                        version);
            } else {
                String[] parts = step.split("<");
                List<String> dependencies = parts.length > 1 ? List.of(parts[1].split("&")) : List.of();
                jobCache.apply(
                        parts[0],
                        new StoredRecord.JobRecord(JobState.OPEN, spec(parts[0], dependencies), 0, 2),
                        version);
            }
        }
    }

    /** State of each job in the given order: r ready, w waiting, d done, x cancelled. */
    private static String describeStates(JobCache jobCache, String names) {
        StringBuilder text = new StringBuilder();
        for (String name : names.split("")) {
            JobCache.View view = jobCache.view(name);
            text.append(
                    view.state() == JobState.DONE
                            ? 'd'
                            : view.state() == JobState.CANCELLED ? 'x' : view.hasUnfinishedDependencies() ? 'w' : 'r');
        }
        return text.toString();
    }

    @ParameterizedTest
    @CsvSource({
        // records in the order of writing, jobs, states
        "a b<a, ab, rw",
        "a b<a +a, ab, dr",
        "a b<a -a, ab, xx",
        "a b<a c<b -a, abc, xxx",
        "a b<a c<b +a -b, abc, dxx",
        "a b<a c<b -b, abc, rxx",
        "a b c d<a&b&c +a +b, abcd, ddrw",
        "a b c d<a&b&c +a +b -c, abcd, ddxx",
        "a b c d<a&b&c +a +b +c, abcd, dddr",
        "a b<a c<a d<b&c, abcd, rwww",
        "a b<a c<a d<b&c +a +b, abcd, ddrw",
        "a b<a c<a d<b&c +a -b, abcd, dxrx",
        "a b<a c<a d<b&c -a, abcd, xxxx",
        "a -a b<a c<b, abc, xxx",
        "a +a b<a, ab, dr",
        "a b<a -a c<b, abc, xxx",
        "a b<a -a -b c<b, abc, xxx",
        "a b<a c<b -c, abc, rwx",
    })
    void everyControllerDerivesTheSameStates(String records, String jobs, String expected) {
        List<String> steps = List.of(records.split(" "));
        JobCache live = new JobCache();
        applySteps(live, steps, 0);
        assertEquals(expected, describeStates(live, jobs), "in the order of writing");
        // A controller that starts later reads only the last record of each job, here in both orders of the names.
        for (int order = 0; order < 2; order++) {
            JobCache laterReader = new JobCache();
            List<JobCache.Entry> lastEntries = new ArrayList<>();
            for (String name : jobs.split("")) {
                lastEntries.add(order == 0 ? lastEntries.size() : 0, live.get(name));
            }
            lastEntries.forEach(entry -> laterReader.apply(entry.id(), entry.record(), entry.version()));
            assertEquals(expected, describeStates(laterReader, jobs), "read later, order " + order);
        }
    }

    /** A cancellation is one record for a chain of any length. Its evaluation must not recurse to the depth of the chain. */
    @ParameterizedTest
    @CsvSource({"50, true", "50, false", "20000, true", "20000, false"})
    void longChainsAreResolvedWithoutRecursion(int length, boolean cancel) {
        JobCache jobCache = new JobCache();
        List<String> steps = new ArrayList<>(List.of("j0"));
        for (int i = 1; i < length; i++) {
            steps.add("j" + i + "<j" + (i - 1));
        }
        applySteps(jobCache, steps, 0);
        List<String> changed = jobCache.apply(
                "j0", new StoredRecord.JobRecord(cancel ? JobState.CANCELLED : JobState.DONE, null, 0, 2), length + 1);
        assertEquals(cancel ? length : 2, changed.size());
        assertEquals(cancel ? JobState.CANCELLED : JobState.OPEN, jobCache.state("j" + (length - 1)));
    }

    @Test
    void readyTimeIsTheEndOfTheLastDependency() {
        JobCache jobCache = new JobCache();
        applySteps(jobCache, List.of("a", "b", "c<a&b", "+b", "+a"), 0);
        assertEquals(5, jobCache.view("c").readyWall());
        assertEquals(0, jobCache.view("a").readyWall());
    }

    /** Outcome of a submission with dependencies. */
    @ParameterizedTest
    @CsvSource({
        // records before the submission, whether the layout is marked, dependencies, outcome
        "a, true, a, OPEN 1",
        "a, false, a, Deferred",
        "a +a, false, a, OPEN 0",
        "a b +a, true, a&b, OPEN 1",
        "a b, true, a&b, OPEN 2",
        "a -a, false, a, CANCELLED 0",
        "a b<a -a, false, b, CANCELLED 0",
        "a, true, a&z, Refused",
        "a, true, z, Refused",
        "a, true, x, Refused",
    })
    void admissionOfSubmissionsWithDependencies(
            String records, boolean isLayoutMarked, String dependencies, String outcome) {
        JobCache jobCache = new JobCache();
        applySteps(jobCache, List.of(records.split(" ")), 0);
        jobCache.apply(
                "s",
                new StoredRecord.JobRecord(
                        JobState.OPEN, SchedulerHarness.job("s", JobKind.SERVICE, "blue", Priority.NORMAL, 2, 0), 0, 2),
                50);
        jobCache.layoutRead(isLayoutMarked ? 7 : 0, new StoredRecord.Layout(2, 2048));
        DependencyAdmission admission =
                DependencyAdmission.evaluate(spec("x", List.of(dependencies.split("&"))), jobCache);
        String text = admission instanceof DependencyAdmission.Accepted accepted
                ? accepted.state() + " "
                        + (accepted.spec() == null
                                ? 0
                                : accepted.spec().dependencies().size())
                : admission.getClass().getSimpleName();
        assertEquals(outcome, text);
        assertInstanceOf(
                DependencyAdmission.Refused.class, DependencyAdmission.evaluate(spec("x", List.of("s")), jobCache));
    }

    /**
     * Only the last job has a deadline and a high priority, which the first one inherits. Run times are estimated as 5 s, so
     * each job is due its run time and a start delay before the next one. The due time is removed with the last job.
     */
    @ParameterizedTest
    @CsvSource({
        // dependencies, first job's own and inherited priority, pipeline steps from its due time to the deadline (0:
        // none)
        "b<a c<b d<c, LOW, HIGH, 3",
        "b<a d<b, LOW, HIGH, 2",
        "b<a c<a d<b&c, NORMAL, HIGH, 2",
        "d<a, PRODUCTION, PRODUCTION, 1",
        "c<a, LOW, NORMAL, 0",
    })
    void deadlineAndPriorityOfTheLastJobAreInherited(String records, Priority priority, Priority inherited, int steps) {
        Settings settings = new SchedulerHarness(1, 0).settings;
        RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
        JobLedgers ledgers = new JobLedgers(settings, 5);
        DagInheritance dagInheritance = new DagInheritance(ledgers, runtimeEstimator);
        Job first = ledgers.addJob(SchedulerHarness.job("a", JobKind.ARRAY, "blue", priority, 2, 5), 1, 0, 0, 0);
        long version = 1;
        for (String step : records.split(" ")) {
            String[] parts = step.split("<");
            JobSpec waiting = spec(parts[0], List.of(parts[1].split("&")));
            if (parts[0].equals("d")) {
                waiting = new JobSpec(
                        "d",
                        "class",
                        "blue",
                        JobKind.ARRAY,
                        Priority.HIGH,
                        2,
                        waiting.taskResources(),
                        "img-1",
                        1,
                        List.of(),
                        null,
                        false,
                        false,
                        true,
                        5 * Micros.SECOND,
                        0,
                        0,
                        100 * Micros.SECOND,
                        waiting.dependencies());
            }
            dagInheritance.addWaitingJob(waiting, ++version, 0);
        }
        dagInheritance.refresh(0);
        assertEquals(inherited, first.priority());
        long dueBeforeDeadlineMicros = 100 * Micros.SECOND - first.dependentsDueMicros;
        if (steps == 0) {
            assertEquals(Long.MAX_VALUE, first.dependentsDueMicros);
        } else {
            assertTrue(
                    dueBeforeDeadlineMicros >= steps * 5 * Micros.SECOND
                            && dueBeforeDeadlineMicros <= steps * 12 * Micros.SECOND,
                    "before: " + dueBeforeDeadlineMicros);
        }
        dagInheritance.removeWaitingJob("d");
        dagInheritance.refresh(0);
        assertEquals(Long.MAX_VALUE, first.dependentsDueMicros);
    }

    /** Dependencies that do not fit into a job record have further records. The job is known only once all were read. */
    @ParameterizedTest
    @CsvSource({"r12, true", "12r, true", "1r2, true", "r1, false", "12, false", "r, false"})
    void furtherDependenciesBelongToTheJobRecord(String order, boolean isKnown) {
        JobCache jobCache = new JobCache();
        applySteps(jobCache, List.of("a", "b", "c"), 0);
        StoredRecord.JobRecord jobRecord = new StoredRecord.JobRecord(JobState.OPEN, spec("d", List.of("a")), 0, 2)
                .withDependencies(List.of("a"), 2);
        for (char part : order.toCharArray()) {
            if (part == 'r') {
                jobCache.apply("d", jobRecord, 9);
            } else {
                jobCache.applyDependencies("d", part - '0', List.of(part == '1' ? "b" : "c"));
            }
        }
        assertEquals(isKnown, jobCache.get("d") != null);
        if (isKnown) {
            assertEquals(
                    List.of("a", "b", "c"), jobCache.get("d").record().spec().dependencies());
            applySteps(jobCache, List.of("+a", "+b"), 20);
            assertTrue(jobCache.view("d").hasUnfinishedDependencies());
            applySteps(jobCache, List.of("-c"), 30);
            assertEquals(JobState.CANCELLED, jobCache.state("d"));
        }
    }
}
