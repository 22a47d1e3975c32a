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

/** What is left of a cancelled job counts for its team, and its ledger stays, until nothing of it can be on any machine. */
class CancelledJobQuotaTest {
    private static final JobSpec SPEC = SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", Priority.NORMAL, 5, 60);
    private static final long TOKEN = 50;

    private final Settings settings = new SchedulerHarness(1, 0).settings;
    private final Scheduler leader = new Scheduler(settings, Tuning.defaults(settings), TOKEN, 0);
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

    /** Machine i-1 or i-2 reports running tasks by number and, after a slash, ended ones. */
    private void heartbeat(String machine, String tasks) {
        List<TaskStatus> lines = new ArrayList<>();
        String[] parts = tasks.split("/", -1);
        parts[0].chars()
                .forEach(each -> lines.add(new TaskStatus("wk-1", each - '0', 7, TaskState.RUNNING, null, false)));
        if (parts.length > 1) {
            parts[1].chars()
                    .forEach(each ->
                            lines.add(new TaskStatus("wk-1", each - '0', 7, TaskState.EXITED, ExitCause.DONE, false)));
        }
        leader.handleHeartbeat(
                new Heartbeat(machine, "x:1", "small", "a", false, 1, ++sequence, TOKEN, -1, lines), now);
    }

    /** What is due is written, and answered unless it stays in flight. */
    private void runWriteBatches(boolean answered) {
        for (int each = 0; each < 5; each++) {
            now += 300 * Micros.MILLISECOND;
            leader.storeReadAt(now);
            leader.tick(now);
            Transaction next = inFlight != null ? null : leader.nextWriteBatch(now, now);
            inFlight = next == null ? inFlight : next;
            if (inFlight != null && answered) {
                for (Transaction.Write write : inFlight.writes()) {
                    ledgerStored = write.key().equals("ledger/wk-1") ? write.record() != null : ledgerStored;
                }
                inFlight = null;
                leader.writeConfirmed(++revision, now);
            }
        }
    }

    /**
     * Steps of a term: {@code o} the row is read as open, {@code c} as cancelled, {@code l} the ledger of an earlier leader is, which names i-1
     * and i-2, {@code +} all is read, {@code a012/3} machine i-1 reports, {@code b…} machine i-2 does, {@code w} rounds are written,
     * {@code f} one goes out and is not answered yet, {@code u} it was not executed. Then {@code used} processors count for the team and the ledger is
     * there or not; once the machines report nothing more, both are gone.
     */
    @ParameterizedTest
    @CsvSource({
        // Cancelled with nothing else in its ledger to write.
        "o l + a012 b34 w c w, 10, true",
        // Dirty for another reason: a task had just ended, on the same machine or on the other.
        "o l + a012 b34 w a01/2 c w, 8, true",
        "o l + a012 b34 w b3/4 c w, 8, true",
        // A round is in flight at the cancellation, and is answered or not executed.
        "o l + a012 b34 w a01/2 f c w, 8, true",
        "o l + a012 b34 w a01/2 f c u w, 8, true",
        // What a machine goes on reporting counts, however many rounds there were meanwhile.
        "o l + a012 b34 w a01/2 c w a01 w b34 w, 8, true",
        // Cancelled while the leader loads: before and after its ledger was read, and known as cancelled only.
        "o c l + w, 0, true",
        "o l c + w, 0, true",
        "c l + w, 0, true",
        "o c l + a012 w, 6, true",
        "c l + a012 w, 6, true",
        // A former version took the ledger away too early: what is reported counts all the same.
        "c + a012 w, 6, false",
        // Done elsewhere, as an older report of the other machine tells: the job is over, and what still runs counts
        // until it is gone.
        "o l + a01234 b/01234 w a01234 w, 10, false",
        "o l + a01234 b/01234 w a012 w, 6, false",
    })
    void cancelledJobCountsUntilNoTaskCanBeOnAMachine(String steps, int used, boolean ledger) {
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
        assertEquals(used * 1000, leader.teamUsage("red").cpus(), "processors of the team");
        assertEquals(ledger, ledgerStored, "its ledger is stored");
        heartbeat("i-1", "");
        heartbeat("i-2", "");
        runWriteBatches(true);
        assertEquals(0, leader.teamUsage("red").cpus());
        assertTrue(!ledgerStored && leader.mayBeArchived("wk-1"), "nothing of it is left");
    }
}
