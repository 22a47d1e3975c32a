package io.micatide.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class JobBookTest {
    /** Every n-th task of a job is finished: its rounds keep the limits, and the next leader reads back the same. */
    @ParameterizedTest
    @CsvSource({"10, 1", "5000, 3", "100000, 1", "100000, 2", "100000, 7"})
    void largeFragmentedJobsKeepTheLimits(int tasks, int step) {
        Settings settings = new World(1, 0).settings;
        JobBook book = new JobBook(settings, 5);
        JobSpec spec = World.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, tasks, 5);
        Job job = book.add(spec, 7, 0, 0, 0);
        for (int i = 0; i < tasks - 1; i += step) {
            book.finished(job, i, 0);
        }
        Map<String, Row.Ledger> stored = new HashMap<>();
        int rounds = 0;
        for (long now = 10 * Micros.SECOND;; now += 10 * Micros.SECOND) {
            JobBook.Round round = book.nextRound(now, now, settings.transactionOps(), 0, List.of(), List.of(),
                    (any, most) -> List.of());
            if (round == null) {
                break;
            }
            assertTrue(++rounds < 200, "it never ends");
            int bytes = 0;
            for (Transaction.Write write : round.transaction().writes()) {
                Row.Ledger ledger = (Row.Ledger) write.row();
                assertTrue(ledger.done().length() < settings.valueBytes() * 5 / 8, write.key());
                bytes += ledger.done().length() + 200;
                stored.put(write.key(), ledger);
            }
            assertTrue(bytes < 60_000, "a transaction of " + bytes + " bytes");
            assertTrue(round.transaction().writes().size() <= settings.transactionOps());
            assertTrue(round.transaction().conditions().size() <= 4 * settings.transactionOps());
            book.confirmed(round, 100 + rounds, now);
        }
        assertEquals(job.finished, job.recorded);
        JobBook next = new JobBook(settings, 900);
        Job found = next.add(spec, 7, 0, 0, 0);
        stored.forEach((key, ledger) -> assertTrue(next.load(key, ledger, 1)));
        assertEquals(job.finished, found.finished);
    }
}
