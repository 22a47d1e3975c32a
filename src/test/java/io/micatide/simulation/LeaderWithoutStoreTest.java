package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import io.micatide.standby.KeyspaceReplica;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The state service refuses the leader alone, another controller confirms cancellations, then the state service is away for all, for longer
 * than a cancelled job's tasks may be on machines, while workers go on reporting to the old leader.
 */
class LeaderWithoutStoreTest {
    private static final int LONG = 600;
    private static final VirtualNetwork.MessageFault NEVER =
            new VirtualNetwork.MessageFault(10_000 * Micros.SECOND, 0, false);

    private FailoverScenario begun(long seed, int controllers) {
        FailoverScenario day = new FailoverScenario(seed, controllers, 0, KeyspaceReplica::new);
        // What a controller tells the leader unasked never arrives: nothing may rest on it.
        day.cluster.network.addFaults((from, endpoint, path) -> path.equals("/withdrawn") ? NEVER : null);
        day.time.run(2 * Micros.SECOND);
        day.users.submit("batch", 16, LONG);
        day.users.submit("batch", 16, LONG);
        day.users.submit("daemon", 8, 0);
        day.users.submit("batch", 8, LONG);
        day.time.run(12 * Micros.SECOND);
        for (String job : new String[] {"wk-1", "wk-2", "wk-3", "wk-4"}) {
            assertTrue(day.checker.running(job) > 0, job);
        }
        return day;
    }

    /**
     * The old leader, refused for longer than its lease, is followed by another, and the state service is away for all from the very
     * claim on: the new leader can read nothing, and all controllers are alive and testify for as long as the outage lasts.
     */
    @ParameterizedTest
    @CsvSource({"3, 500", "5, 500", "5, 1500", "5, 2400", "3, 1800", "5, 2000"})
    void aLeaderThatCouldReadNothingSinceItsClaimStopsWhatWasCancelled(int controllers, int refused) {
        for (long seed = 1; seed <= 3; seed++) {
            FailoverScenario day = begun(seed, controllers);
            int leader = day.cluster.leader();
            long fencingToken = day.cluster.fencingToken();
            day.cluster.faults.refuseStoreRequests(leader, 150);
            day.time.run(refused * Micros.MILLISECOND);
            for (int other = 1; other < controllers; other++) {
                int at = (leader + other) % controllers;
                day.users.cancel(other == 1 ? "wk-1" : "wk-3", () -> day.cluster.toController(at));
            }
            long began = day.time.now();
            while (day.cluster.fencingToken() == fencingToken || day.cluster.fencingToken() == 0) {
                day.time.run(Micros.MILLISECOND / 5);
                assertTrue(day.time.now() - began < 20 * Micros.SECOND, "nobody claims " + day.cluster.eventLog());
            }
            day.cluster.faults.storeOutage(90);
            day.time.run(FailoverScenario.CANCEL + 10 * Micros.SECOND);
            assertEquals(
                    0,
                    day.checker.running("wk-1") + day.checker.running("wk-3"),
                    "seed " + seed + " " + day.cluster.eventLog());
            assertEquals(
                    24, day.checker.running("wk-2") + day.checker.running("wk-4"), "what nobody cancelled runs on");
            day.time.run(150 * Micros.SECOND);
            assertEquals(List.of(), day.checker.violations(), "seed " + seed + " " + day.cluster.eventLog());
        }
    }

    /** All controllers alive, an outage for all of a minute: no task dies, whoever leads. */
    @ParameterizedTest
    @CsvSource({"3, 0", "5, 0", "5, 1"})
    void anOutageOfAMinuteKillsNothing(int controllers, int former) {
        FailoverScenario day = new FailoverScenario(7, controllers, former, KeyspaceReplica::new);
        day.time.run(2 * Micros.SECOND);
        day.users.submit("batch", 16, LONG);
        day.users.submit("daemon", 8, 0);
        day.time.run(12 * Micros.SECOND);
        int starts = day.checker.starts();
        day.cluster.faults.storeOutage(60);
        day.time.run(59 * Micros.SECOND);
        assertEquals(24, day.checker.running());
        assertEquals(starts, day.checker.starts());
        day.time.run(30 * Micros.SECOND);
        assertEquals(24, day.checker.running());
        assertEquals(starts, day.checker.starts());
    }

    /**
     * @param what becomes of the controller that confirmed, just after it did
     * @param refused ms from the refusal until the cancellations
     * @param outage ms from there until the state service is away for all: before others can claim, as they do, after they did
     */
    @ParameterizedTest
    @CsvSource({
        "3, alive, 500, 300",
        "5, alive, 500, 300",
        "5, alive, 2400, 300",
        "3, alive, 500, 2600",
        "5, alive, 1500, 1700",
        "5, alive, 3500, 500",
        "5, ended, 500, 300",
        "3, ended, 500, 300",
        "5, back, 500, 300",
        "3, back, 500, 300",
        "5, backInOutage, 500, 60",
        "3, backInOutage, 2000, 60",
        "3, backInOutage, 700, 60",
        "5, backInOutage, 1600, 60",
        "5, cut, 500, 300",
        "5, frozen, 500, 300",
        "3, frozen, 2400, 300",
    })
    void whatWasCancelledIsGoneInTime(int controllers, String confirming, int refused, int outage) {
        for (long seed = 1; seed <= 2; seed++) {
            FailoverScenario day = begun(seed, controllers);
            int leader = day.cluster.leader();
            int other = (leader + 1) % controllers;
            day.cluster.faults.refuseStoreRequests(leader, 150);
            day.time.run(refused * Micros.MILLISECOND);
            day.users.cancel("wk-1", () -> day.cluster.toController(other));
            day.users.cancel("wk-3", () -> day.cluster.toController(other));
            day.time.run(40 * Micros.MILLISECOND);
            switch (confirming) {
                case "ended" -> day.cluster.faults.crashForSeconds(other, 200);
                case "back" -> day.cluster.faults.crashForMicros(other, 50 * Micros.MILLISECOND);
                case "backInOutage" -> day.cluster.faults.crashForMicros(other, 100 * Micros.MILLISECOND);
                case "cut" ->
                    day.cluster.faults.partitionController(other, new FaultInjector.Links(false, false, true), 150);
                case "frozen" -> day.cluster.faults.pauseForMillis(other, 100_000);
                default -> {}
            }
            day.time.run((outage - 40) * Micros.MILLISECOND);
            day.cluster.faults.storeOutage(90);
            day.time.run(FailoverScenario.CANCEL + 10 * Micros.SECOND);
            assertEquals(
                    0,
                    day.checker.running("wk-1") + day.checker.running("wk-3"),
                    "seed " + seed + " " + day.cluster.eventLog());
            day.time.run(200 * Micros.SECOND);
            assertEquals(List.of(), day.checker.violations(), "seed " + seed + " " + day.cluster.eventLog());
        }
    }
}
