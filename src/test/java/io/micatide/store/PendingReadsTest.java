package io.micatide.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PendingReadsTest {
    /**
     * r: an answer, f: a failure, n: asked to go on. However often it fails and is asked to go on, there is one request
     * at a time, and every key is read once.
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
