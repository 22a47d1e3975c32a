package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.jobs.JobCache;
import io.micatide.model.ExitCause;
import io.micatide.model.Heartbeat;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Settings;
import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;
import io.micatide.model.Tuning;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tasks of a cancelled job count towards the quota of their team, and the job's ledger is kept, until no task of the job can be
 * on any machine. Otherwise the team could exceed its quota.
 */
class CancelledJobQuotaTest {
    private static final JobSpec SPEC = SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", Priority.NORMAL, 5, 60);
    private static final long TOKEN = 50;

    private final Settings settings = new SchedulerHarness(1, 0).settings;
    private final Scheduler leader = new Scheduler(settings, Tuning.defaults(settings), Long.MAX_VALUE, TOKEN, 0);
    private long now;
    private long revision = TOKEN;
    private long sequence;
    private Transaction inFlight;
    private boolean ledgerStored;

    private static StoredRecord.JobRecord jobRecord(JobState state) {
        return new StoredRecord.JobRecord(state, SPEC, 0, SPEC.taskCount());
    }

    private void jobChanged(JobState state, long version) {
        leader.jobChanged(new JobCache.View(SPEC.id(), jobRecord(state), version, state, false, 0), now, now);
    }

    /** Sends a heartbeat of the given machine with running tasks, one digit each, and finished tasks after a slash. */
    private void heartbeat(String machine, String tasks) {
        List<TaskStatus> statuses = new ArrayList<>();
        String[] parts = tasks.split("/", -1);
        parts[0].chars()
                .forEach(digit -> statuses.add(new TaskStatus("wk-1", digit - '0', 7, TaskState.RUNNING, null, false)));
        if (parts.length > 1) {
            parts[1].chars()
                    .forEach(digit -> statuses.add(
                            new TaskStatus("wk-1", digit - '0', 7, TaskState.EXITED, ExitCause.DONE, false)));
        }
        leader.handleHeartbeat(
                new Heartbeat(machine, "x:1", "small", "a", false, 1, ++sequence, TOKEN, -1, statuses), now);
    }

    /** Sends the write batches that are due; the store answers them, or they stay in flight. */
    private void runWriteBatches(boolean isAnswered) {
        for (int step = 0; step < 5; step++) {
            now += 300 * Micros.MILLISECOND;
            leader.storeReadAt(now);
            leader.tick(now);
            Transaction next = inFlight != null ? null : leader.nextWriteBatch(now, now);
            inFlight = next == null ? inFlight : next;
            if (inFlight != null && isAnswered) {
                for (Transaction.Write write : inFlight.writes()) {
                    ledgerStored = write.key().equals("ledger/wk-1") ? write.record() != null : ledgerStored;
                }
                inFlight = null;
                leader.writeConfirmed(++revision, now);
            }
        }
    }

    /**
     * Executes the steps of a term: {@code o} the job record is read as open, {@code c} as cancelled; {@code l} the ledger of
     * the previous leader is read, which names i-1 and i-2; {@code +} all records are read; {@code a012/3} machine i-1 sends a
     * heartbeat with running tasks 0, 1 and 2 and finished task 3, {@code b…} machine i-2 does; {@code w} write batches are
     * written; {@code f} a write batch is sent and not answered yet; {@code u} it was not executed. Then {@code usedCpus} CPUs
     * count for the team, and the ledger is stored or not. When the machines report no more tasks, the team uses no CPUs and
     * the ledger is deleted.
     */
    @ParameterizedTest
    @CsvSource({
        // Cancelled while no other change of its ledger is to be written.
        "o l + a012 b34 w c w, 10, true",
        // The ledger is dirty for another reason: a task has just finished, on the same machine or on the other one.
        "o l + a012 b34 w a01/2 c w, 8, true",
        "o l + a012 b34 w b3/4 c w, 8, true",
        // A write batch is in flight at the cancellation, and is then answered or not executed.
        "o l + a012 b34 w a01/2 f c w, 8, true",
        "o l + a012 b34 w a01/2 f c u w, 8, true",
        // Tasks that a machine still reports count, regardless of the write batches since the cancellation.
        "o l + a012 b34 w a01/2 c w a01 w b34 w, 8, true",
        // Cancelled while the leader loads: before or after its ledger is read, or never known as open.
        "o c l + w, 0, true",
        "o l c + w, 0, true",
        "c l + w, 0, true",
        "o c l + a012 w, 6, true",
        "c l + a012 w, 6, true",
        // A previous version of the program deleted the ledger too early: reported tasks count nevertheless.
        "c + a012 w, 6, false",
        // An older heartbeat of the other machine reports the tasks as done: the job is finished, and attempts that
        // still run count until they have ended.
        "o l + a01234 b/01234 w a01234 w, 10, false",
        "o l + a01234 b/01234 w a012 w, 6, false",
    })
    void cancelledJobCountsUntilNoTaskCanBeOnAMachine(String steps, int usedCpus, boolean isLedgerStored) {
        leader.machineTypesChanged(List.of(SchedulerHarness.TYPE), 0);
        for (String step : steps.split(" ")) {
            switch (step.charAt(0)) {
                case 'o' -> jobChanged(JobState.OPEN, 3);
                case 'c' -> jobChanged(JobState.CANCELLED, 60);
                case 'l' -> {
                    leader.ledgerLoaded("ledger/wk-1", new StoredRecord.Ledger(List.of("i-1", "i-2"), 0, ""), 4, now);
                    ledgerStored = true;
                }
                case '+' -> leader.allRecordsLoaded(now);
                case 'a' -> heartbeat("i-1", step.substring(1));
                case 'b' -> heartbeat("i-2", step.substring(1));
                case 'f' -> runWriteBatches(false);
                case 'u' -> {
                    inFlight = null;
                    leader.writeNotExecuted(now);
                }
                default -> runWriteBatches(true);
            }
        }
        assertEquals(usedCpus * 1000, leader.teamUsage("red").cpus(), "CPUs of the team in thousandths");
        assertEquals(isLedgerStored, ledgerStored, "whether the ledger is stored");
        heartbeat("i-1", "");
        heartbeat("i-2", "");
        runWriteBatches(true);
        assertEquals(0, leader.teamUsage("red").cpus());
        assertTrue(!ledgerStored && leader.mayBeArchived("wk-1"), "the ledger is deleted and the job may be archived");
    }
}
