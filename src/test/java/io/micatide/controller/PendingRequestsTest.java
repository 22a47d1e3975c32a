package io.micatide.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.micatide.net.Request;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Bodies of user requests are kept until the answer, and only so many. */
class PendingRequestsTest {
    private static final int BODY_BYTES = 64 << 10;
    private static final long NOW = 1_000_000;

    /** A request that counts its answers. */
    private static final class CountingRequest implements Request {
        private final byte[] body;
        private int answers;

        CountingRequest(int bytes) {
            this.body = new byte[bytes];
        }

        @Override
        public String method() {
            return "POST";
        }

        @Override
        public String path() {
            return "/v1/jobs";
        }

        @Override
        public byte[] body() {
            return body;
        }

        @Override
        public void answer(int status, byte[] json, int retryAfterSeconds) {
            answers++;
        }

        @Override
        public void answerAndClose(int status, byte[] json, int retryAfterSeconds) {
            answers++;
        }
    }

    @Test
    void roomReturnsWithTheAnswers() {
        PendingRequests pending = new PendingRequests();
        List<Request> admitted = new ArrayList<>();
        List<CountingRequest> received = new ArrayList<>();
        for (int i = 0; i < PendingRequests.MAX_BODY_BYTES / BODY_BYTES; i++) {
            received.add(new CountingRequest(BODY_BYTES));
            admitted.add(pending.admit(received.get(i), NOW));
            assertNotNull(admitted.get(i));
        }
        assertNull(pending.admit(new CountingRequest(1), NOW));
        assertNotNull(pending.admit(new CountingRequest(0), NOW), "questions have no body");
        admitted.get(0).answer(201, new byte[0]);
        admitted.get(1).answerAndClose(503, new byte[0], 1);
        assertEquals(2, received.stream().mapToInt(each -> each.answers).sum());
        assertNotNull(pending.admit(new CountingRequest(2 * BODY_BYTES), NOW));
        assertNull(pending.admit(new CountingRequest(1), NOW));
    }

    /** Guards against a controller that takes no submissions any more, since the handling of some failed and they were never answered. */
    @Test
    void aRequestThatIsNeverAnsweredCountsForItsTimeOnly() {
        PendingRequests pending = new PendingRequests();
        Request neverAnswered = pending.admit(new CountingRequest(PendingRequests.MAX_BODY_BYTES), NOW);
        assertNotNull(neverAnswered);
        assertNull(pending.admit(new CountingRequest(1), NOW + PendingRequests.MAX_AGE_MICROS - 1));
        assertNotNull(pending.admit(new CountingRequest(BODY_BYTES), NOW + PendingRequests.MAX_AGE_MICROS));
        neverAnswered.answer(503, new byte[0], 1);
        int rest = PendingRequests.MAX_BODY_BYTES - BODY_BYTES;
        assertNull(pending.admit(new CountingRequest(rest + 1), NOW + PendingRequests.MAX_AGE_MICROS), "counted once");
        assertNotNull(pending.admit(new CountingRequest(rest), NOW + PendingRequests.MAX_AGE_MICROS));
    }
}
