package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.CloudCall;
import io.micatide.model.Heartbeat;
import io.micatide.model.Hint;
import io.micatide.model.JobKind;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The only test that matters: kill it between any two steps, and count second runs and what stays unknown. */
class FailureTest {
    private static void submitAll(SchedulerHarness world) {
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", Priority.NORMAL, 20, 6));
        world.submit(SchedulerHarness.job("wk-2", JobKind.ARRAY, "blue", Priority.NORMAL, 12, 9));
        world.submit(SchedulerHarness.job("wk-3", JobKind.SERVICE, "blue", Priority.HIGH, 2, 0));
        world.submit(SchedulerHarness.job("wk-4", JobKind.ARRAY, "blue", Priority.NORMAL, 8, 30));
        world.submit(SchedulerHarness.job("wk-5", JobKind.GANG, "blue", Priority.NORMAL, 3, 5));
    }

    private static void assertFinishedWithoutViolation(SchedulerHarness world, String what) {
        assertEquals(List.of(), world.violations, what);
        for (String id : List.of("wk-1", "wk-2", "wk-5")) {
            assertEquals(JobState.DONE, world.state(id), what + ": " + id);
        }
        assertEquals(JobState.CANCELLED, world.state("wk-4"), what);
        assertTrue(world.leader.summary(world.now).contains("unsettled=0"), what + world.leader.summary(world.now));
        // Nothing of what is over stays behind: only the replicas run and only their ledger is kept.
        List<String> kept = new ArrayList<>();
        world.records.keySet().stream()
                .filter(key -> key.startsWith(StoreKeys.LEDGERS))
                .forEach(kept::add);
        assertEquals(List.of(StoreKeys.ledger("wk-3", 0)), kept, what);
    }

    /** Each row moves the kill over another stretch of the interactions of a whole run. */
    @ParameterizedTest
    @CsvSource({"0, 0", "0, 0.02", "300, 0", "300, 0.02", "150, 0.1"})
    void noTaskRunsTwiceAtAnyKillPoint(int from, double lostAnswers) {
        int duplicates = 0;
        for (int kill = from + 1; kill <= from + 300; kill++) {
            SchedulerHarness world = new SchedulerHarness(kill, 3);
            world.lostAnswerProbability = lostAnswers;
            world.killAtInteraction = kill;
            world.startLeader();
            submitAll(world);
            world.run(12 * Micros.SECOND);
            world.cancel("wk-4");
            world.run(150 * Micros.SECOND);
            assertTrue(world.interactions > kill || world.leadersStarted > 1, "the kill was not reached");
            assertFinishedWithoutViolation(world, "kill " + kill + " lost " + lostAnswers);
            duplicates += (int) world.violations.stream()
                    .filter(rule -> rule.startsWith("ran_twice"))
                    .count();
        }
        assertEquals(0, duplicates);
    }

    /** The leader before claimed a rental and ended: whether it was made is settled by a list, and nothing more is rented there before. */
    @Test
    void requestsOfThePreviousTermAreResolved() {
        SchedulerHarness world = new SchedulerHarness(7, 3);
        world.startLeader();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", Priority.NORMAL, 4, 6));
        String key = StoreKeys.provisioningRequest("r-99-1");
        world.records.put(key, new StoredRecord.Provisioning("claimed", SchedulerHarness.TYPE.name(), "a", true, 2));
        world.versions.put(key, ++world.revision);
        world.startLeader();
        assertTrue(world.leader.summary(world.now).contains("bookings=1"), world.leader.summary(world.now));
        world.run(120 * Micros.SECOND);
        assertEquals(false, world.records.containsKey(key), "its row goes once it is settled");
        assertEquals(JobState.DONE, world.state("wk-1"));
    }

    /** A ledger names a machine that the leader before has returned: who was told so does not wait for the cloud's list. */
    @ParameterizedTest
    @CsvSource({"true, 3", "false, 5"})
    void hintOfADeletedMachineSpeedsUpRecovery(boolean told, int seconds) {
        SchedulerHarness world = new SchedulerHarness(5, 3);
        world.startLeader();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", Priority.NORMAL, 40, 60));
        world.run(40 * Micros.SECOND);
        StoredRecord.Ledger ledger = (StoredRecord.Ledger) world.records.get(StoreKeys.ledger("wk-1", 0));
        String gone = ledger.machines().get(0);
        world.workers.get(gone).isDeleted = true;
        world.workers.get(gone).tasks.clear();
        world.hints = told ? List.of(Hint.MachineHint.deleted(gone)) : List.of();
        world.startLeader();
        world.run(seconds * Micros.SECOND);
        assertEquals(told, world.leader.summary(world.now).contains("unsettled=0"), world.leader.summary(world.now));
        world.run(200 * Micros.SECOND);
        assertEquals(JobState.DONE, world.state("wk-1"));
        assertEquals(List.of(), world.violations);
    }

    /** A greeting's answer may be older than what is on its way to the machine: nothing that was sent is taken for lost by it. */
    @Test
    void reorderedAnnouncementAnswersBreakNothing() {
        for (int seed = 1; seed <= 20; seed++) {
            SchedulerHarness world = new SchedulerHarness(seed, 3);
            world.announcesAtEachHeartbeat = true;
            world.lostAnswerProbability = 0.02;
            world.killAtInteraction = 40 + 9 * seed;
            world.startLeader();
            submitAll(world);
            world.run(12 * Micros.SECOND);
            world.cancel("wk-4");
            world.run(150 * Micros.SECOND);
            assertFinishedWithoutViolation(world, "seed " + seed);
        }
    }

    /** Hints speed up and never allow: whatever they say, nothing runs twice and everything is done, if later. */
    @Test
    void wrongHintsBreakNothing() {
        for (int seed = 1; seed <= 40; seed++) {
            SchedulerHarness world = new SchedulerHarness(seed, 3);
            world.lostAnswerProbability = 0.02;
            world.killAtInteraction = 20 + 7 * seed;
            List<Hint> lies =
                    new ArrayList<>(List.of(new Hint.JobClassHint("class", 9, 3), new Hint.JobClassHint("x", -4, -1)));
            for (int job = 0; job <= 6; job++) {
                lies.add(new Hint.JobHint(
                        "wk-" + job,
                        world.random.nextInt(90) * Micros.SECOND,
                        world.random.nextInt(50),
                        job % 2 == 0,
                        job));
            }
            for (int machine = 0; machine < 12; machine++) {
                lies.add(new Hint.MachineHint(
                        String.format("i-%06d", machine),
                        "x:1",
                        3,
                        List.of("img-1", "img-9", "img-1"),
                        List.of(2.0, 90.0, 5.0),
                        world.random.nextBoolean(),
                        world.random.nextInt(4) == 0,
                        world.random.nextInt(6) == 0));
            }
            world.hints = lies;
            world.startLeader();
            submitAll(world);
            world.run(12 * Micros.SECOND);
            world.cancel("wk-4");
            world.run(240 * Micros.SECOND);
            assertFinishedWithoutViolation(world, "seed " + seed);
        }
    }

    /**
     * Each row is a failure around a take-over. A machine that hangs over it may go on within its lease, so what was
     * on it stays unknown until it reports to the new leader or its deletion is answered.
     */
    @ParameterizedTest
    @CsvSource({
        // hangs at, for, leader killed after, state outage from, for, cloud outage from, for
        "3, 9, 60, 0, 0, 0, 0",
        "3, 25, 60, 0, 0, 0, 0",
        "3, 60, 60, 0, 0, 0, 0",
        "3, 25, 40, 4, 20, 0, 0",
        "5, 6, 90, 4, 20, 2, 60",
        "2, 12, 30, 0, 0, 0, 60",
        "0, 0, 50, 2, 30, 0, 40",
    })
    void hangsAndOutagesDuringFailover(
            int hangAt, int hangFor, int kill, int outageAt, int outageFor, int cloudAt, int cloudFor) {
        for (int seed = 0; seed < 12; seed++) {
            SchedulerHarness world = new SchedulerHarness(seed, 4);
            world.killAtInteraction = kill + seed * 5;
            world.lostAnswerProbability = 0.01;
            world.startLeader();
            submitAll(world);
            for (int second = 0; second < 240; second++) {
                if (second == hangAt && hangFor > 0) {
                    world.workers.values().iterator().next().hungUntilMicros = world.now + hangFor * Micros.SECOND;
                }
                if (second == 12 || second == 80) {
                    world.cancel("wk-4");
                }
                world.storeOutage = outageFor > 0 && second >= outageAt && second < outageAt + outageFor;
                world.cloudOutage = cloudFor > 0 && second >= cloudAt && second < cloudAt + cloudFor;
                world.run(Micros.SECOND);
            }
            assertFinishedWithoutViolation(world, "seed " + seed);
        }
    }

    /**
     * A leader that is cut off together with a zone keeps that zone's tasks alive. Its successor cannot tell how long,
     * so there a lease that seems to have run out proves nothing until the machines report to it or are deleted.
     */
    @ParameterizedTest
    @CsvSource({"4, 8, 0", "4, 30, 0", "8, 30, 0", "8, 60, 0", "12, 20, 40", "6, 90, 90"})
    void zoneConnectedToThePreviousLeaderOnly(int cutAt, int cutFor, int cloudOutageFor) {
        for (int seed = 0; seed < 12; seed++) {
            SchedulerHarness world = new SchedulerHarness(seed, 4);
            world.lostAnswerProbability = 0.01;
            world.startLeader();
            submitAll(world);
            for (int second = 0; second < 260; second++) {
                if (second == cutAt + seed % 3) {
                    world.isolateLeader(cutFor * Micros.SECOND);
                }
                world.cloudOutage = second >= cutAt && second < cutAt + cloudOutageFor;
                world.run(Micros.SECOND);
            }
            assertEquals(List.of(), world.violations, "seed " + seed);
            assertEquals(JobState.DONE, world.state("wk-1"), "seed " + seed);
            assertEquals(JobState.DONE, world.state("wk-4"), "seed " + seed);
        }
    }

    /** In an outage of the state service the leader answers on, so tasks live, and nothing new starts. */
    @Test
    void storeOutageKeepsTasksRunningAndStartsNothing() {
        SchedulerHarness world = new SchedulerHarness(1, 3);
        world.startLeader();
        world.submit(SchedulerHarness.job("wk-3", JobKind.SERVICE, "blue", Priority.HIGH, 4, 0));
        world.run(15 * Micros.SECOND);
        assertEquals(4, world.starts);
        world.storeOutage = true;
        world.submit(SchedulerHarness.job("wk-6", JobKind.ARRAY, "blue", Priority.NORMAL, 4, 5));
        world.run(40 * Micros.SECOND);
        assertEquals(4, world.starts, "started during the outage");
        world.storeOutage = false;
        world.run(30 * Micros.SECOND);
        assertEquals(8, world.starts, "replicas were started again");
        assertEquals(JobState.DONE, world.state("wk-6"));
    }

    /**
     * A leader that stood still and still leads takes in the reports before it judges: tasks whose lease did not run out go
     * on, no machine is returned, and nothing is started twice.
     */
    @ParameterizedTest
    @CsvSource({"4, 1, true", "4, 5, true", "4, 8, true", "4, 20, false", "1, 8, true"})
    void processPauseDeletesNoMachines(int machines, int seconds, boolean tasksLive) {
        SchedulerHarness world = new SchedulerHarness(1, machines);
        world.startLeader();
        world.submit(SchedulerHarness.job("wk-3", JobKind.SERVICE, "blue", Priority.HIGH, machines, 0));
        world.submit(SchedulerHarness.job("wk-6", JobKind.ARRAY, "blue", Priority.NORMAL, 3 * machines, 60));
        world.run(15 * Micros.SECOND);
        int starts = world.starts;
        long returned = world.workers.values().stream()
                .filter(worker -> worker.isDeleted)
                .count();
        world.pauseLeader(seconds * Micros.SECOND);
        world.run(8 * Micros.SECOND);
        assertEquals(
                returned,
                world.workers.values().stream()
                        .filter(worker -> worker.isDeleted)
                        .count());
        assertEquals(List.of(), world.violations);
        assertEquals(tasksLive, starts == world.starts, world.starts + " starts");
        world.run(90 * Micros.SECOND);
        assertEquals(JobState.DONE, world.state("wk-6"));
    }

    /**
     * A leader that wakes up after its lease asks nothing of the cloud and starts nothing, even where a machine has not heard
     * of its successor: what it takes for gone may run there.
     */
    @ParameterizedTest
    @CsvSource({"2, true", "5, false", "30, false"})
    void leaderResumedAfterItsLeaseDoesNothing(int seconds, boolean leads) {
        SchedulerHarness world = new SchedulerHarness(1, 4);
        world.startLeader();
        world.run(15 * Micros.SECOND);
        long held = world.now + 3 * Micros.SECOND;
        world.leader.leaseHeldUntil(held);
        world.submit(SchedulerHarness.job("wk-6", JobKind.ARRAY, "blue", Priority.NORMAL, 9, 60));
        world.now += seconds * Micros.SECOND;
        world.leader.processResumed(world.now);
        int before = world.starts;
        List<CloudCall> calls = new ArrayList<>();
        for (int step = 0; step < 80; step++) {
            world.now += SchedulerHarness.STEP_MICROS;
            if (leads) {
                world.leader.leaseHeldUntil(world.now + 3 * Micros.SECOND);
            }
            world.leader.storeReadAt(world.now);
            world.leader.tick(world.now);
            Transaction round = world.leader.nextWriteBatch(world.now, world.now);
            if (round != null) {
                world.leader.writeConfirmed(world.apply(round), world.now);
            }
            calls.addAll(world.leader.cloudCalls(world.now));
            for (SchedulerHarness.Worker worker : world.workers.values()) {
                Heartbeat heartbeat = worker.heartbeat();
                worker.execute(
                        world.fencingToken,
                        world.leader.handleHeartbeat(heartbeat, world.now),
                        world.now,
                        worker.incarnation);
            }
        }
        assertEquals(leads, world.starts > before);
        assertEquals(leads, !calls.isEmpty());
    }

    /**
     * A new leader that no worker reaches returns none of their machines: one once gave back all 334. A few that are silent
     * while the others report are given back; and so is what the cloud no longer lists, however many they are.
     */
    @ParameterizedTest
    @CsvSource({"8, 8, false, 0", "8, 1, false, 1", "8, 8, true, 8"})
    void newLeaderWithoutHeartbeatsDeletesNoMachines(int machines, int hang, boolean gone, int returned) {
        SchedulerHarness world = new SchedulerHarness(1, machines);
        world.startLeader();
        world.submit(SchedulerHarness.job("wk-3", JobKind.SERVICE, "blue", Priority.HIGH, 4 * machines, 0));
        world.run(15 * Micros.SECOND);
        int hung = 0;
        for (SchedulerHarness.Worker worker : world.workers.values()) {
            if (hung++ < hang) {
                worker.hungUntilMicros = world.now + 300 * Micros.SECOND;
                worker.isDeleted = gone;
            }
        }
        world.startLeader();
        world.machinesDeleted = 0;
        world.run(60 * Micros.SECOND);
        assertEquals(returned, world.machinesDeleted);
        assertEquals(List.of(), world.violations);
    }

    /**
     * A leader gives idle machines back, the cloud carries it out half a minute later, and meanwhile another leads that has work for them:
     * without the row that names them first it loses what it placed there.
     */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void delayedDeletionLosesNoTasks(boolean recorded, boolean nothingLost) {
        SchedulerHarness world = new SchedulerHarness(1, 8);
        world.recordsMachineDeletions = recorded;
        world.startLeader();
        world.submit(SchedulerHarness.job("wk-3", JobKind.ARRAY, "blue", Priority.NORMAL, 8, 2));
        world.run(20 * Micros.SECOND);
        world.deletionDelayMicros = 30 * Micros.SECOND;
        world.run(40 * Micros.SECOND);
        world.startLeader();
        world.submit(SchedulerHarness.job("wk-4", JobKind.ARRAY, "blue", Priority.NORMAL, 40, 120));
        world.run(60 * Micros.SECOND);
        assertEquals(nothingLost, world.tasksLostToDeletions == 0, world.tasksLostToDeletions + " tasks lost");
        world.deletionDelayMicros = 0;
        world.run(200 * Micros.SECOND);
        assertEquals(List.of(), world.violations);
        assertTrue(world.leader.summary(world.now).contains("jobs=0"), world.leader.summary(world.now));
    }

    /**
     * Machines that fall silent together, before their leases are over: those of a zone that reports are given back, so that their tasks start
     * elsewhere; those of a zone that is cut off as a whole are not, with the present leader and with a new one.
     */
    @ParameterizedTest
    @CsvSource({
        // in zone a, in zone b, of 8 each; what they run; after a take-over; returned within 9 s
        "3, 3, SERVICE, false, 6",
        "3, 3, SERVICE, true, 6",
        "4, 0, SERVICE, false, 4",
        "8, 0, SERVICE, false, 0",
        "8, 0, SERVICE, true, 0",
        "8, 2, SERVICE, false, 2",
        "6, 6, SERVICE, false, 0",
        // Of a new leader's they hold up jobs; of one that knows what was on them, nothing but tasks that can wait.
        "3, 3, ARRAY, false, 0",
        "3, 3, ARRAY, true, 6",
    })
    void silentMachinesOfAReachableZoneAreDeleted(int inA, int inB, JobKind kind, boolean takeOver, int returned) {
        SchedulerHarness world = new SchedulerHarness(1, 16);
        world.startLeader();
        world.submit(SchedulerHarness.job("wk-3", kind, "blue", Priority.NORMAL, 64, 300));
        world.run(15 * Micros.SECOND);
        Map<String, Integer> left = new HashMap<>(Map.of("a", inA, "b", inB));
        for (SchedulerHarness.Worker worker : world.workers.values()) {
            if (left.merge(worker.zone, -1, Integer::sum) >= 0) {
                worker.hungUntilMicros = world.now + 9_200 * Micros.MILLISECOND;
            }
        }
        if (takeOver) {
            world.startLeader();
        }
        world.machinesDeleted = 0;
        world.run(9 * Micros.SECOND);
        assertEquals(returned, world.machinesDeleted);
        world.run(40 * Micros.SECOND);
        assertEquals(List.of(), world.violations);
    }
}
