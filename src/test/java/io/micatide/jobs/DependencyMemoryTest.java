package io.micatide.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.HeapUse;
import io.micatide.model.JobState;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Heap that dependencies between jobs take, in total and after the jobs that have them ended. */
class DependencyMemoryTest {
    private static final int JOBS = 400;
    private static final int DEPENDENT_JOBS = 600;
    private static final int MAX_BYTES_PER_DEPENDENCY = 24;

    private static String id(int number) {
        return "wk-%06d".formatted(number);
    }

    private static String record(int number, int dependencies) {
        StringBuilder names = new StringBuilder();
        for (int dependency = 0; dependency < dependencies; dependency++) {
            names.append(dependency == 0 ? "\"" : ",\"").append(id(dependency)).append('"');
        }
        return """
                {"state":"OPEN","tasks":1,"submitted":1,"spec":{"nameId":"%s","roster":"class","crew":"blue","form":"batch",\
                "rank":"normal","legs":1,"cpus":1.0,"cards":0.0,"memGb":1.0,"kit":"img","sizeGb":1.0,"samePlace":false,\
                "scatter":false,"loaners":true,"runtimeS":5.0,"halftimeS":0.0,"stowS":0.0,"awaits":[%s]}}""".formatted(id(number), names);
    }

    /** Reads a job's record as a controller reads it, with instances of its own of all names. */
    private static void read(JobCache jobCache, int number, int dependencies) throws MalformedException {
        String page = "{\"ledger\":%d,\"items\":[{\"k\":\"job/%s\",\"stamp\":%d,\"data\":%s}]}"
                .formatted(number + 1, id(number), number + 1, record(number, dependencies));
        for (StoreCodec.Item item :
                StoreCodec.page(page.getBytes(StandardCharsets.UTF_8)).items()) {
            jobCache.apply(id(number), (StoredRecord.JobRecord) item.record(), item.version());
        }
    }

    /** Guards against heaps filled by jobs that name many others: each name was kept three times, as a string of its own. */
    @Test
    void aDependencyTakesNoMoreThanReferences() throws MalformedException {
        JobCache jobCache = new JobCache();
        for (int number = 0; number < JOBS; number++) {
            read(jobCache, number, 0);
        }
        long before = HeapUse.liveBytes();
        for (int number = JOBS; number < JOBS + DEPENDENT_JOBS; number++) {
            read(jobCache, number, JOBS);
        }
        long bytesPerDependency = (HeapUse.liveBytes() - before) / (JOBS * DEPENDENT_JOBS);
        assertEquals(JOBS + DEPENDENT_JOBS, jobCache.openJobs().size());
        assertTrue(bytesPerDependency <= MAX_BYTES_PER_DEPENDENCY, bytesPerDependency + " bytes a dependency");
    }

    /** The estimate by which submissions are limited covers what is taken. */
    @Test
    void theEstimateCoversTheHeapThatIsTaken() throws MalformedException {
        JobCache jobCache = new JobCache();
        long before = HeapUse.liveBytes();
        for (int number = 0; number < JOBS + DEPENDENT_JOBS; number++) {
            read(jobCache, number, number < JOBS ? 0 : JOBS);
        }
        long taken = HeapUse.liveBytes() - before;
        long estimated = jobCache.memoryUsage().totalBytes();
        assertTrue(taken <= estimated, taken + " bytes are taken and " + estimated + " estimated");
        assertEquals(estimated, jobCache.memoryUsage().bytesOf("blue"));
    }

    @Test
    void theUsageEndsWithTheJobs() throws MalformedException {
        JobCache jobCache = new JobCache();
        for (int number = 0; number < 10; number++) {
            read(jobCache, number, number);
        }
        for (int number = 0; number < 10; number++) {
            jobCache.apply(id(number), new StoredRecord.JobRecord(JobState.DONE, null, 0, 1, 5, 0), 100 + number);
        }
        assertEquals(0, jobCache.memoryUsage().bytesOf("blue"));
        assertTrue(jobCache.memoryUsage().totalBytes() > 0);
        for (int number = 0; number < 10; number++) {
            jobCache.remove(id(number), 200);
        }
        assertEquals(0, jobCache.memoryUsage().totalBytes());
    }

    /** Guards against edges of cancelled jobs that pile up for as long as the job that they needed runs. */
    @Test
    void cancelledJobsReleaseTheirDependencies() {
        DependencyGraph graph = new DependencyGraph();
        List<String> names = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            names.add(id(number));
        }
        for (int number = 0; number < 10 * DEPENDENT_JOBS; number++) {
            String dependent = id(JOBS + number);
            graph.jobOpened(dependent, names, id -> null);
            graph.jobFinished(dependent);
            assertTrue(graph.edges() <= 4 * JOBS, graph.edges() + " edges are kept");
        }
    }

    /** A job that lost some of its edges to others that were cancelled still waits for each of its own dependencies. */
    @Test
    void removalOfEdgesKeepsThoseOfWaitingJobs() {
        DependencyGraph graph = new DependencyGraph();
        List<String> names = List.of("wk-a", "wk-b", "wk-c");
        graph.jobOpened("wk-waits", names, id -> null);
        for (int number = 0; number < 2_000; number++) {
            graph.jobOpened(id(number), names, id -> null);
            graph.jobFinished(id(number));
        }
        StoredRecord.JobRecord done = new StoredRecord.JobRecord(JobState.DONE, null, 0, 1, 7, 0);
        assertEquals(List.of(), graph.jobCompleted("wk-a", done));
        assertEquals(List.of(), graph.jobCompleted("wk-b", done));
        assertTrue(graph.hasUnfinishedDependencies("wk-waits"));
        assertEquals(List.of("wk-waits"), graph.jobCompleted("wk-c", done));
        assertEquals(0, graph.edges());
    }

    /** A job whose record came back after its removal does not count a dependency twice. */
    @Test
    void aJobThatCameBackWaitsForAllOfItsDependencies() {
        DependencyGraph graph = new DependencyGraph();
        graph.jobOpened("wk-back", List.of("wk-a", "wk-b"), id -> null);
        graph.jobFinished("wk-back");
        graph.jobOpened("wk-back", List.of("wk-a", "wk-b"), id -> null);
        StoredRecord.JobRecord done = new StoredRecord.JobRecord(JobState.DONE, null, 0, 1, 7, 0);
        assertEquals(List.of(), graph.jobCompleted("wk-a", done));
        assertEquals(List.of("wk-back"), graph.jobCompleted("wk-b", done));
    }
}
