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

/** What follows for jobs that need others from the rows alone, in whatever order the rows are read. */
class DependencyGraphTest {
    private static JobSpec spec(String id, List<String> needs) {
        return SchedulerHarness.job(id, JobKind.ARRAY, "blue", Priority.NORMAL, 2, 5)
                .withDependencies(needs);
    }

    /** Steps are {@code b<a} (a row that needs others), {@code +a} (done) and {@code -a} (cancelled), oldest first. */
    private static void play(JobCache directory, List<String> steps, long from) {
        long version = from;
        for (String step : steps) {
            version++;
            if (step.startsWith("+") || step.startsWith("-")) {
                JobState state = step.startsWith("+") ? JobState.DONE : JobState.CANCELLED;
                directory.apply(
                        step.substring(1),
                        new StoredRecord.JobRecord(state, null, 0, 2, state == JobState.DONE ? version : -1, 0),
                        version);
            } else {
                String[] parts = step.split("<");
                List<String> needs = parts.length > 1 ? List.of(parts[1].split("&")) : List.of();
                directory.apply(
                        parts[0], new StoredRecord.JobRecord(JobState.OPEN, spec(parts[0], needs), 0, 2), version);
            }
        }
    }

    /** How each job stands: ready, waiting, done or withdrawn, in the order of their names. */
    private static String told(JobCache directory, String names) {
        StringBuilder text = new StringBuilder();
        for (String name : names.split("")) {
            JobCache.View view = directory.view(name);
            text.append(
                    view.state() == JobState.DONE
                            ? 'd'
                            : view.state() == JobState.CANCELLED ? 'x' : view.hasUnfinishedDependencies() ? 'w' : 'r');
        }
        return text.toString();
    }

    @ParameterizedTest
    @CsvSource({
        // rows as they are written, jobs, how they stand
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
    void everyControllerTellsTheSame(String rows, String jobs, String told) {
        List<String> steps = List.of(rows.split(" "));
        JobCache live = new JobCache();
        play(live, steps, 0);
        assertEquals(told, told(live, jobs), "as it happened");
        // A controller that starts later reads only the last row of each job, here by name and against it.
        for (int order = 0; order < 2; order++) {
            JobCache late = new JobCache();
            List<JobCache.Entry> rowsNow = new ArrayList<>();
            for (String name : jobs.split("")) {
                rowsNow.add(order == 0 ? rowsNow.size() : 0, live.get(name));
            }
            rowsNow.forEach(entry -> late.apply(entry.id(), entry.record(), entry.version()));
            assertEquals(told, told(late, jobs), "read later, order " + order);
        }
    }

    /** One cancellation is one row however long the chain; nothing here may recurse as deep as a chain is long. */
    @ParameterizedTest
    @CsvSource({"50, true", "50, false", "20000, true", "20000, false"})
    void chains(int length, boolean cancel) {
        JobCache directory = new JobCache();
        List<String> steps = new ArrayList<>(List.of("j0"));
        for (int i = 1; i < length; i++) {
            steps.add("j" + i + "<j" + (i - 1));
        }
        play(directory, steps, 0);
        List<String> changed = directory.apply(
                "j0", new StoredRecord.JobRecord(cancel ? JobState.CANCELLED : JobState.DONE, null, 0, 2), length + 1);
        assertEquals(cancel ? length : 2, changed.size());
        assertEquals(cancel ? JobState.CANCELLED : JobState.OPEN, directory.state("j" + (length - 1)));
    }

    @Test
    void timesCountFromTheEndOfTheLastNeededJob() {
        JobCache directory = new JobCache();
        play(directory, List.of("a", "b", "c<a&b", "+b", "+a"), 0);
        assertEquals(5, directory.view("c").readyWall());
        assertEquals(0, directory.view("a").readyWall());
    }

    /** What is said to a submission that names others. */
    @ParameterizedTest
    @CsvSource({
        // rows before, mark seen, needs, outcome
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
    void submissions(String rows, boolean marked, String needs, String outcome) {
        JobCache directory = new JobCache();
        play(directory, List.of(rows.split(" ")), 0);
        directory.apply(
                "s",
                new StoredRecord.JobRecord(
                        JobState.OPEN, SchedulerHarness.job("s", JobKind.SERVICE, "blue", Priority.NORMAL, 2, 0), 0, 2),
                50);
        directory.layoutRead(marked ? 7 : 0, new StoredRecord.Layout(2, 2048));
        DependencyAdmission said = DependencyAdmission.evaluate(spec("x", List.of(needs.split("&"))), directory);
        String text = said instanceof DependencyAdmission.Accepted accepted
                ? accepted.state() + " "
                        + (accepted.spec() == null
                                ? 0
                                : accepted.spec().dependencies().size())
                : said.getClass().getSimpleName();
        assertEquals(outcome, text);
        assertInstanceOf(
                DependencyAdmission.Refused.class, DependencyAdmission.evaluate(spec("x", List.of("s")), directory));
    }

    /**
     * Deadline and priority stand on the last job only. Estimates are 5 s, so each job is wanted its own time and a step
     * before the next one; both go again when the last job is cancelled.
     */
    @ParameterizedTest
    @CsvSource({
        // needs of the others, first job's priority, due before the deadline of the last job (ms; 0: not asked for)
        "b<a c<b d<c, LOW, HIGH, 3",
        "b<a d<b, LOW, HIGH, 2",
        "b<a c<a d<b&c, NORMAL, HIGH, 2",
        "d<a, PRODUCTION, PRODUCTION, 1",
        "c<a, LOW, NORMAL, 0",
    })
    void theLastJobAsksForThePipeline(String rows, Priority own, Priority inherited, int steps) {
        Settings settings = new SchedulerHarness(1, 0).settings;
        RuntimeEstimator runTimes = new RuntimeEstimator();
        JobLedgers ledgers = new JobLedgers(settings, 5);
        DagInheritance pipelines = new DagInheritance(ledgers, runTimes);
        Job first = ledgers.addJob(SchedulerHarness.job("a", JobKind.ARRAY, "blue", own, 2, 5), 1, 0, 0, 0);
        long version = 1;
        for (String step : rows.split(" ")) {
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
            pipelines.jobWaits(waiting, ++version, 0);
        }
        pipelines.refresh(0);
        assertEquals(inherited, first.priority());
        long before = 100 * Micros.SECOND - first.dependentsDueMicros;
        if (steps == 0) {
            assertEquals(Long.MAX_VALUE, first.dependentsDueMicros);
        } else {
            assertTrue(
                    before >= steps * 5 * Micros.SECOND && before <= steps * 12 * Micros.SECOND, "before: " + before);
        }
        pipelines.jobNoLongerWaits("d");
        pipelines.refresh(0);
        assertEquals(Long.MAX_VALUE, first.dependentsDueMicros);
    }

    /** Names that a row has no room for come in rows of their own, before it or after it: nothing is told of half a list. */
    @ParameterizedTest
    @CsvSource({"r12, true", "12r, true", "1r2, true", "r1, false", "12, false", "r, false"})
    void furtherNamesBelongToTheRow(String order, boolean known) {
        JobCache directory = new JobCache();
        play(directory, List.of("a", "b", "c"), 0);
        StoredRecord.JobRecord row = new StoredRecord.JobRecord(JobState.OPEN, spec("d", List.of("a")), 0, 2)
                .withDependencies(List.of("a"), 2);
        for (char part : order.toCharArray()) {
            if (part == 'r') {
                directory.apply("d", row, 9);
            } else {
                directory.applyDependencies("d", part - '0', List.of(part == '1' ? "b" : "c"));
            }
        }
        assertEquals(known, directory.get("d") != null);
        if (known) {
            assertEquals(
                    List.of("a", "b", "c"), directory.get("d").record().spec().dependencies());
            play(directory, List.of("+a", "+b"), 20);
            assertTrue(directory.view("d").hasUnfinishedDependencies());
            play(directory, List.of("-c"), 30);
            assertEquals(JobState.CANCELLED, directory.state("d"));
        }
    }
}
