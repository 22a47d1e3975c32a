package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Jobs of one task come four a second for minutes, a quarter of them cancelled: starts do not wait behind ends, and what is over does not pile up. */
class SmallJobsTest {
    private static final int SECONDS = 150;

    /**
     * @param requests that the state service takes a second
     * @param changes that it takes a second: as on the smallest deployment, and as on the large ones
     * @param killed whether the leader is killed each half minute
     * @param median tenths of a second within which half of the jobs run, and {@code most} nineteen of twenty
     */
    @ParameterizedTest
    @CsvSource({"80, 30, false, 15, 60", "300, 120, false, 15, 60", "80, 30, true, 15, 80"})
    void startsDoNotWaitBehindEnds(int requests, int changes, boolean killed, int median, int most) {
        FailoverScenario day = FailoverScenario.withStoreLimits(1, 3, requests, changes);
        day.time.run(3 * Micros.SECOND);
        day.users.submit("batch", 40, 15);
        day.time.run(20 * Micros.SECOND);
        Map<String, Long> submitted = new HashMap<>();
        List<Long> waits = new ArrayList<>();
        long before = day.cluster.store.changeCount();
        int rowsMost = 0;
        for (int tenth = 0; tenth < SECONDS * 10; tenth++) {
            if (tenth % 5 == 0 || tenth % 5 == 2) {
                day.users.submit("batch", 1, 3);
                String id = day.users.lastJob();
                if (day.random.nextInt(4) == 0) {
                    day.at(day.random.nextInt(5_000) * Micros.MILLISECOND, () -> day.users.cancel(id));
                } else {
                    submitted.put(id, day.time.now());
                }
            }
            if (killed && tenth % 300 == 200) {
                day.cluster.faults.crashForMicros(day.cluster.leader(), 800 * Micros.MILLISECOND);
            }
            day.time.run(100 * Micros.MILLISECOND);
            submitted
                    .entrySet()
                    .removeIf(each ->
                            day.checker.running(each.getKey()) > 0 && waits.add(day.time.now() - each.getValue()));
            rowsMost = Math.max(rowsMost, over(day));
        }
        long perJob = (day.cluster.store.changeCount() - before) * 100 / (4L * SECONDS);
        Collections.sort(waits);
        long half = waits.get(waits.size() / 2) / (100 * Micros.MILLISECOND);
        long late = waits.get(waits.size() * 19 / 20) / (100 * Micros.MILLISECOND);
        String measured = waits.size() + " of " + (waits.size() + submitted.size()) + " ran, half within " + half
                + ", 95% within " + late + " tenths; " + perJob / 100.0 + " changes a job; at most " + rowsMost
                + " rows of jobs that are over, " + over(day) + " at the end";
        System.out.println(requests + "/" + changes + (killed ? " killed: " : ": ") + measured);
        assertTrue(half <= median && late <= most, measured);
        assertTrue(submitted.size() < 40, measured);
        day.time.run(60 * Micros.SECOND);
        assertEquals(List.of(), day.violations());
        assertTrue(over(day) < 300, over(day) + " rows of jobs that are over are left");
        assertEquals(
                0, day.cluster.store.values().subMap("ledger/", "ledger0").size(), "ledgers of jobs that are over");
    }

    private static int over(FailoverScenario day) {
        int rows = 0;
        for (Map.Entry<String, SimulatedStore.Value> each : day.cluster
                .store
                .values()
                .subMap(StoreKeys.JOBS, StoreKeys.JOBS + Character.MAX_VALUE)
                .entrySet()) {
            rows += each.getKey().startsWith(StoreKeys.job("wk-"))
                            && SimulatedCluster.recordOf(each.getKey(), each.getValue())
                                    instanceof StoredRecord.JobRecord row
                            && row.state() != JobState.OPEN
                    ? 1
                    : 0;
        }
        return rows;
    }
}
