package io.micatide.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PendingReadsTest {
    /**
     * At most one request is in flight and every key is read once, regardless of the number of failures and of calls for the next key. Each
     * failed read once started two more, which exhausted the memory of a controller without a connection to the store.
     *
     * @param events n: a call for the next key, r: a completed read, f: a failed read
     * @param requests expected number of requests
     * @param finished whether all keys are read at the end
     */
    @ParameterizedTest
    @CsvSource({"nrnrnr, 3, true", "nnn, 1, false", "nfnfnfnfnf, 5, false", "nfnnnrnrnr, 4, true", "nrnrnrnn, 3, true"})
    void oneRequestAtATime(String events, int requests, boolean finished) {
        PendingReads pendingReads = new PendingReads(List.of("a", "b", "c"));
        int sentRequests = 0;
        for (char event : events.toCharArray()) {
            switch (event) {
                case 'n' -> sentRequests += pendingReads.startNextRead() == null ? 0 : 1;
                case 'r' -> pendingReads.readCompleted();
                default -> pendingReads.readFailed();
            }
        }
        assertEquals(requests, sentRequests);
        assertEquals(finished, pendingReads.isFinished());
    }
}
