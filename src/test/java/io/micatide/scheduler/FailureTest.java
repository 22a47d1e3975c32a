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

/**
 * Leaders are killed, paused, cut off or replaced at any point, while workers hang, answers are lost and the store or the cloud
 * is unavailable. No task may run twice, every ledger must be reconciled in the end, and a leader without a connection may not
 * delete machines.
 */
class FailureTest {
    private static void submitAll(SchedulerHarness harness) {
        harness.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", Priority.NORMAL, 20, 6));
        harness.submit(SchedulerHarness.job("wk-2", JobKind.ARRAY, "blue", Priority.NORMAL, 12, 9));
        harness.submit(SchedulerHarness.job("wk-3", JobKind.SERVICE, "blue", Priority.HIGH, 2, 0));
        harness.submit(SchedulerHarness.job("wk-4", JobKind.ARRAY, "blue", Priority.NORMAL, 8, 30));
        harness.submit(SchedulerHarness.job("wk-5", JobKind.GANG, "blue", Priority.NORMAL, 3, 5));
    }

    private static void assertFinishedWithoutViolation(SchedulerHarness harness, String context) {
        assertEquals(List.of(), harness.violations, context);
        for (String id : List.of("wk-1", "wk-2", "wk-5")) {
            assertEquals(JobState.DONE, harness.state(id), context + ": " + id);
        }
        assertEquals(JobState.CANCELLED, harness.state("wk-4"), context);
        assertTrue(
                harness.leader.summary(harness.now).contains("unsettled=0"),
                context + harness.leader.summary(harness.now));
        // No ledger of a finished job is left: only the service runs, and only its ledger is kept.
        List<String> kept = new ArrayList<>();
        harness.records.keySet().stream()
                .filter(key -> key.startsWith(StoreKeys.LEDGERS))
                .forEach(kept::add);
        assertEquals(List.of(StoreKeys.ledger("wk-3", 0)), kept, context);
    }

    /** Kills the leader at each of 300 interactions. Each row is a range of interactions and a probability of lost answers. */
    @ParameterizedTest
    @CsvSource({"0, 0", "0, 0.02", "300, 0", "300, 0.02", "150, 0.1"})
    void noTaskRunsTwiceAtAnyKillPoint(int from, double lostAnswerProbability) {
        int duplicates = 0;
        for (int kill = from + 1; kill <= from + 300; kill++) {
            SchedulerHarness harness = new SchedulerHarness(kill, 3);
            harness.lostAnswerProbability = lostAnswerProbability;
            harness.killAtInteraction = kill;
            harness.startLeader();
            submitAll(harness);
            harness.run(12 * Micros.SECOND);
            harness.cancel("wk-4");
            harness.run(150 * Micros.SECOND);
            assertTrue(
                    harness.interactions > kill || harness.leadersStarted > 1,
                    "the run ended before the interaction at which the leader is killed");
            assertFinishedWithoutViolation(harness, "kill " + kill + " lost " + lostAnswerProbability);
            duplicates += (int) harness.violations.stream()
                    .filter(violation -> violation.startsWith("ran_twice"))
                    .count();
        }
        assertEquals(0, duplicates);
    }

    /**
     * The previous leader claimed a provisioning request and was replaced before its outcome was known. A list of machines
     * resolves the request; until then its machines count as expected capacity.
     */
    @Test
    void requestsOfThePreviousTermAreResolved() {
        SchedulerHarness harness = new SchedulerHarness(7, 3);
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", Priority.NORMAL, 4, 6));
        String key = StoreKeys.provisioningRequest("r-99-1");
        harness.records.put(key, new StoredRecord.Provisioning("claimed", SchedulerHarness.TYPE.name(), "a", true, 2));
        harness.versions.put(key, ++harness.revision);
        harness.startLeader();
        assertTrue(harness.leader.summary(harness.now).contains("bookings=1"), harness.leader.summary(harness.now));
        harness.run(120 * Micros.SECOND);
        assertEquals(
                false,
                harness.records.containsKey(key),
                "the record of the request is deleted when the request is resolved");
        assertEquals(JobState.DONE, harness.state("wk-1"));
    }

    /** A ledger names a machine that was deleted in the previous term. A leader that has a hint of it does not wait for the cloud's list. */
    @ParameterizedTest
    @CsvSource({"true, 3", "false, 5"})
    void hintOfADeletedMachineSpeedsUpRecovery(boolean hasHint, int seconds) {
        SchedulerHarness harness = new SchedulerHarness(5, 3);
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", Priority.NORMAL, 40, 60));
        harness.run(40 * Micros.SECOND);
        StoredRecord.Ledger ledger = (StoredRecord.Ledger) harness.records.get(StoreKeys.ledger("wk-1", 0));
        String deletedMachine = ledger.machines().get(0);
        harness.workers.get(deletedMachine).isDeleted = true;
        harness.workers.get(deletedMachine).tasks.clear();
        harness.hints = hasHint ? List.of(Hint.MachineHint.deleted(deletedMachine)) : List.of();
        harness.startLeader();
        harness.run(seconds * Micros.SECOND);
        assertEquals(
                hasHint,
                harness.leader.summary(harness.now).contains("unsettled=0"),
                harness.leader.summary(harness.now));
        harness.run(200 * Micros.SECOND);
        assertEquals(JobState.DONE, harness.state("wk-1"));
        assertEquals(List.of(), harness.violations);
    }

    /**
     * The answer to an announcement may have been created before the worker received commands that are in flight to it. The
     * leader must not regard these as lost because of the answer.
     */
    @Test
    void reorderedAnnouncementAnswersBreakNothing() {
        for (int seed = 1; seed <= 20; seed++) {
            SchedulerHarness harness = new SchedulerHarness(seed, 3);
            harness.announcesAtEachHeartbeat = true;
            harness.lostAnswerProbability = 0.02;
            harness.killAtInteraction = 40 + 9 * seed;
            harness.startLeader();
            submitAll(harness);
            harness.run(12 * Micros.SECOND);
            harness.cancel("wk-4");
            harness.run(150 * Micros.SECOND);
            assertFinishedWithoutViolation(harness, "seed " + seed);
        }
    }

    /** Hints may only speed up a decision, never permit one: with wrong hints no task runs twice, and all jobs finish, possibly later. */
    @Test
    void wrongHintsBreakNothing() {
        for (int seed = 1; seed <= 40; seed++) {
            SchedulerHarness harness = new SchedulerHarness(seed, 3);
            harness.lostAnswerProbability = 0.02;
            harness.killAtInteraction = 20 + 7 * seed;
            List<Hint> wrongHints =
                    new ArrayList<>(List.of(new Hint.JobClassHint("class", 9, 3), new Hint.JobClassHint("x", -4, -1)));
            for (int job = 0; job <= 6; job++) {
                wrongHints.add(new Hint.JobHint(
                        "wk-" + job,
                        harness.random.nextInt(90) * Micros.SECOND,
                        harness.random.nextInt(50),
                        job % 2 == 0,
                        job));
            }
            for (int machine = 0; machine < 12; machine++) {
                wrongHints.add(new Hint.MachineHint(
                        String.format("i-%06d", machine),
                        "x:1",
                        3,
                        List.of("img-1", "img-9", "img-1"),
                        List.of(2.0, 90.0, 5.0),
                        harness.random.nextBoolean(),
                        harness.random.nextInt(4) == 0,
                        harness.random.nextInt(6) == 0));
            }
            harness.hints = wrongHints;
            harness.startLeader();
            submitAll(harness);
            harness.run(12 * Micros.SECOND);
            harness.cancel("wk-4");
            harness.run(240 * Micros.SECOND);
            assertFinishedWithoutViolation(harness, "seed " + seed);
        }
    }

    /**
     * Each row combines failures around a failover. A machine that hangs meanwhile may continue within its lease, so the state
     * of its tasks is unknown until it sends a heartbeat to the new leader or its deletion is answered.
     */
    @ParameterizedTest
    @CsvSource({
        // machine hangs at (s), for (s); leader killed at (interaction); store outage from (s), for (s); cloud outage
        // from (s), for (s)
        "3, 9, 60, 0, 0, 0, 0",
        "3, 25, 60, 0, 0, 0, 0",
        "3, 60, 60, 0, 0, 0, 0",
        "3, 25, 40, 4, 20, 0, 0",
        "5, 6, 90, 4, 20, 2, 60",
        "2, 12, 30, 0, 0, 0, 60",
        "0, 0, 50, 2, 30, 0, 40",
    })
    void hangsAndOutagesDuringFailover(
            int hangAt,
            int hangFor,
            int kill,
            int storeOutageAt,
            int storeOutageFor,
            int cloudOutageAt,
            int cloudOutageFor) {
        for (int seed = 0; seed < 12; seed++) {
            SchedulerHarness harness = new SchedulerHarness(seed, 4);
            harness.killAtInteraction = kill + seed * 5;
            harness.lostAnswerProbability = 0.01;
            harness.startLeader();
            submitAll(harness);
            for (int second = 0; second < 240; second++) {
                if (second == hangAt && hangFor > 0) {
                    harness.workers.values().iterator().next().hungUntilMicros = harness.now + hangFor * Micros.SECOND;
                }
                if (second == 12 || second == 80) {
                    harness.cancel("wk-4");
                }
                harness.storeOutage =
                        storeOutageFor > 0 && second >= storeOutageAt && second < storeOutageAt + storeOutageFor;
                harness.cloudOutage =
                        cloudOutageFor > 0 && second >= cloudOutageAt && second < cloudOutageAt + cloudOutageFor;
                harness.run(Micros.SECOND);
            }
            assertFinishedWithoutViolation(harness, "seed " + seed);
        }
    }

    /**
     * A leader that is cut off together with a zone renews the leases of that zone's workers, so their tasks continue. Its
     * successor does not know for how long. In that zone it must not infer from an apparently expired lease that tasks have
     * ended, until the machines send heartbeats to it or are deleted.
     */
    @ParameterizedTest
    @CsvSource({"4, 8, 0", "4, 30, 0", "8, 30, 0", "8, 60, 0", "12, 20, 40", "6, 90, 90"})
    void zoneConnectedToThePreviousLeaderOnly(int cutAt, int cutFor, int cloudOutageFor) {
        for (int seed = 0; seed < 12; seed++) {
            SchedulerHarness harness = new SchedulerHarness(seed, 4);
            harness.lostAnswerProbability = 0.01;
            harness.startLeader();
            submitAll(harness);
            for (int second = 0; second < 260; second++) {
                if (second == cutAt + seed % 3) {
                    harness.isolateLeader(cutFor * Micros.SECOND);
                }
                harness.cloudOutage = second >= cutAt && second < cutAt + cloudOutageFor;
                harness.run(Micros.SECOND);
            }
            assertEquals(List.of(), harness.violations, "seed " + seed);
            assertEquals(JobState.DONE, harness.state("wk-1"), "seed " + seed);
            assertEquals(JobState.DONE, harness.state("wk-4"), "seed " + seed);
        }
    }

    /** During an outage of the store the leader still answers heartbeats, so tasks continue, and no task is started. */
    @Test
    void storeOutageKeepsTasksRunningAndStartsNothing() {
        SchedulerHarness harness = new SchedulerHarness(1, 3);
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-3", JobKind.SERVICE, "blue", Priority.HIGH, 4, 0));
        harness.run(15 * Micros.SECOND);
        assertEquals(4, harness.starts);
        harness.storeOutage = true;
        harness.submit(SchedulerHarness.job("wk-6", JobKind.ARRAY, "blue", Priority.NORMAL, 4, 5));
        harness.run(40 * Micros.SECOND);
        assertEquals(4, harness.starts, "tasks were started during the outage");
        harness.storeOutage = false;
        harness.run(30 * Micros.SECOND);
        assertEquals(8, harness.starts, "wrong number of starts: service replicas may have been started again");
        assertEquals(JobState.DONE, harness.state("wk-6"));
    }

    /**
     * A leader whose process was paused and that still leads applies the waiting heartbeats before it decides: tasks whose
     * lease did not expire continue, no machine is deleted, and no task runs twice.
     */
    @ParameterizedTest
    @CsvSource({"4, 1, true", "4, 5, true", "4, 8, true", "4, 20, false", "1, 8, true"})
    void processPauseDeletesNoMachines(int machines, int seconds, boolean tasksSurvive) {
        SchedulerHarness harness = new SchedulerHarness(1, machines);
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-3", JobKind.SERVICE, "blue", Priority.HIGH, machines, 0));
        harness.submit(SchedulerHarness.job("wk-6", JobKind.ARRAY, "blue", Priority.NORMAL, 3 * machines, 60));
        harness.run(15 * Micros.SECOND);
        int starts = harness.starts;
        long deletedBefore = harness.workers.values().stream()
                .filter(worker -> worker.isDeleted)
                .count();
        harness.pauseLeader(seconds * Micros.SECOND);
        harness.run(8 * Micros.SECOND);
        assertEquals(
                deletedBefore,
                harness.workers.values().stream()
                        .filter(worker -> worker.isDeleted)
                        .count());
        assertEquals(List.of(), harness.violations);
        assertEquals(tasksSurvive, starts == harness.starts, harness.starts + " starts");
        harness.run(90 * Micros.SECOND);
        assertEquals(JobState.DONE, harness.state("wk-6"));
    }

    /**
     * A leader whose process resumes after its lease has expired makes no cloud calls and starts no tasks, even on a machine
     * that does not know its successor yet: tasks that it regards as lost may run there.
     */
    @ParameterizedTest
    @CsvSource({"2, true", "5, false", "30, false"})
    void leaderResumedAfterItsLeaseDoesNothing(int pauseSeconds, boolean isStillLeader) {
        SchedulerHarness harness = new SchedulerHarness(1, 4);
        harness.startLeader();
        harness.run(15 * Micros.SECOND);
        long leaseHeldUntilMicros = harness.now + 3 * Micros.SECOND;
        harness.leader.leaseHeldUntil(leaseHeldUntilMicros);
        harness.submit(SchedulerHarness.job("wk-6", JobKind.ARRAY, "blue", Priority.NORMAL, 9, 60));
        harness.now += pauseSeconds * Micros.SECOND;
        harness.leader.processResumed(harness.now);
        int startsBefore = harness.starts;
        List<CloudCall> calls = new ArrayList<>();
        for (int step = 0; step < 80; step++) {
            harness.now += SchedulerHarness.STEP_MICROS;
            if (isStillLeader) {
                harness.leader.leaseHeldUntil(harness.now + 3 * Micros.SECOND);
            }
            harness.leader.storeReadAt(harness.now);
            harness.leader.tick(harness.now);
            Transaction transaction = harness.leader.nextWriteBatch(harness.now, harness.now);
            if (transaction != null) {
                harness.leader.writeConfirmed(harness.apply(transaction), harness.now);
            }
            calls.addAll(harness.leader.cloudCalls(harness.now));
            for (SchedulerHarness.Worker worker : harness.workers.values()) {
                Heartbeat heartbeat = worker.heartbeat();
                worker.execute(
                        harness.fencingToken,
                        harness.leader.handleHeartbeat(heartbeat, harness.now),
                        harness.now,
                        worker.incarnation);
            }
        }
        assertEquals(isStillLeader, harness.starts > startsBefore);
        assertEquals(isStillLeader, !calls.isEmpty());
    }

    /**
     * A new leader that no worker can reach deletes none of their machines; one such leader deleted all 334. A few machines
     * that are silent while the others send heartbeats are deleted, and so are all machines that the cloud no longer lists.
     */
    @ParameterizedTest
    @CsvSource({"8, 8, false, 0", "8, 1, false, 1", "8, 8, true, 8"})
    void newLeaderWithoutHeartbeatsDeletesNoMachines(
            int machines, int hungMachines, boolean isDeleted, int expectedDeletions) {
        SchedulerHarness harness = new SchedulerHarness(1, machines);
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-3", JobKind.SERVICE, "blue", Priority.HIGH, 4 * machines, 0));
        harness.run(15 * Micros.SECOND);
        int hung = 0;
        for (SchedulerHarness.Worker worker : harness.workers.values()) {
            if (hung++ < hungMachines) {
                worker.hungUntilMicros = harness.now + 300 * Micros.SECOND;
                worker.isDeleted = isDeleted;
            }
        }
        harness.startLeader();
        harness.machinesDeleted = 0;
        harness.run(60 * Micros.SECOND);
        assertEquals(expectedDeletions, harness.machinesDeleted);
        assertEquals(List.of(), harness.violations);
    }

    /**
     * A leader deletes idle machines, the cloud executes the deletion 30 s later, and meanwhile a new leader has work for them.
     * Without a record that names the machines before the call, the new leader loses the tasks that it placed there.
     */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void delayedDeletionLosesNoTasks(boolean recordsDeletions, boolean nothingLost) {
        SchedulerHarness harness = new SchedulerHarness(1, 8);
        harness.recordsMachineDeletions = recordsDeletions;
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-3", JobKind.ARRAY, "blue", Priority.NORMAL, 8, 2));
        harness.run(20 * Micros.SECOND);
        harness.deletionDelayMicros = 30 * Micros.SECOND;
        harness.run(40 * Micros.SECOND);
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-4", JobKind.ARRAY, "blue", Priority.NORMAL, 40, 120));
        harness.run(60 * Micros.SECOND);
        assertEquals(nothingLost, harness.tasksLostToDeletions == 0, harness.tasksLostToDeletions + " tasks lost");
        harness.deletionDelayMicros = 0;
        harness.run(200 * Micros.SECOND);
        assertEquals(List.of(), harness.violations);
        assertTrue(harness.leader.summary(harness.now).contains("jobs=0"), harness.leader.summary(harness.now));
    }

    /**
     * Machines become silent at the same time, and their leases have not expired yet. Those of a reachable zone are deleted, so
     * that their tasks start on other machines. Those of a zone that is cut off as a whole are not deleted. Both hold for the
     * current leader and for a new one.
     */
    @ParameterizedTest
    @CsvSource({
        // silent machines of 8 in zone a, and of 8 in zone b; kind of job on them; whether a failover follows; machines
        // deleted within 9 s
        "3, 3, SERVICE, false, 6",
        "3, 3, SERVICE, true, 6",
        "4, 0, SERVICE, false, 4",
        "8, 0, SERVICE, false, 0",
        "8, 0, SERVICE, true, 0",
        "8, 2, SERVICE, false, 2",
        "6, 6, SERVICE, false, 0",
        // A new leader cannot continue array jobs before it knows what ran on the machines. A leader that knows it has
        // only tasks that can wait.
        "3, 3, ARRAY, false, 0",
        "3, 3, ARRAY, true, 6",
    })
    void silentMachinesOfAReachableZoneAreDeleted(
            int inA, int inB, JobKind kind, boolean hasFailover, int expectedDeletions) {
        SchedulerHarness harness = new SchedulerHarness(1, 16);
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-3", kind, "blue", Priority.NORMAL, 64, 300));
        harness.run(15 * Micros.SECOND);
        Map<String, Integer> machinesLeft = new HashMap<>(Map.of("a", inA, "b", inB));
        for (SchedulerHarness.Worker worker : harness.workers.values()) {
            if (machinesLeft.merge(worker.zone, -1, Integer::sum) >= 0) {
                worker.hungUntilMicros = harness.now + 9_200 * Micros.MILLISECOND;
            }
        }
        if (hasFailover) {
            harness.startLeader();
        }
        harness.machinesDeleted = 0;
        harness.run(9 * Micros.SECOND);
        assertEquals(expectedDeletions, harness.machinesDeleted);
        harness.run(40 * Micros.SECOND);
        assertEquals(List.of(), harness.violations);
    }
}
