package io.micatide.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.micatide.net.RecordedRequest;
import io.micatide.net.Request;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Bodies of user requests are kept until the answer, and only so many. */
class PendingRequestsTest {
    private static final int BODY_BYTES = 64 << 10;
    private static final long NOW = 1_000_000;

    private static RecordedRequest request(int bytes) {
        return new RecordedRequest(new byte[bytes]);
    }

    @Test
    void roomReturnsWithTheAnswers() {
        PendingRequests pending = new PendingRequests();
        List<Request> admitted = new ArrayList<>();
        List<RecordedRequest> received = new ArrayList<>();
        for (int i = 0; i < PendingRequests.MAX_BODY_BYTES / BODY_BYTES; i++) {
            received.add(request(BODY_BYTES));
            admitted.add(pending.admit(received.get(i), NOW));
            assertNotNull(admitted.get(i));
        }
        assertNull(pending.admit(request(1), NOW));
        assertNotNull(pending.admit(request(0), NOW), "questions have no body");
        admitted.get(0).answer(201, new byte[0]);
        admitted.get(1).answerAndClose(503, new byte[0], 1);
        assertEquals(201, received.get(0).status());
        assertEquals(503, received.get(1).status());
        assertNotNull(pending.admit(request(2 * BODY_BYTES), NOW));
        assertNull(pending.admit(request(1), NOW));
    }

    /** Guards against a controller that takes no submissions any more, since the handling of some failed and they were never answered. */
    @Test
    void aRequestThatIsNeverAnsweredCountsForItsTimeOnly() {
        PendingRequests pending = new PendingRequests();
        Request neverAnswered = pending.admit(request(PendingRequests.MAX_BODY_BYTES), NOW);
        assertNotNull(neverAnswered);
        assertNull(pending.admit(request(1), NOW + PendingRequests.MAX_AGE_MICROS - 1));
        assertNotNull(pending.admit(request(BODY_BYTES), NOW + PendingRequests.MAX_AGE_MICROS));
        neverAnswered.answer(503, new byte[0], 1);
        int rest = PendingRequests.MAX_BODY_BYTES - BODY_BYTES;
        assertNull(pending.admit(request(rest + 1), NOW + PendingRequests.MAX_AGE_MICROS), "counted once");
        assertNotNull(pending.admit(request(rest), NOW + PendingRequests.MAX_AGE_MICROS));
    }
}
