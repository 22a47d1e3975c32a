package io.micatide.controller;

import io.micatide.model.Micros;
import io.micatide.net.Request;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the bodies of the user requests that are not answered yet, each of which is kept, in part also in decoded form, until its answer. A request
 * that is never answered, since its handling failed, counts only for as long as its user may wait. Not thread-safe.
 */
final class PendingRequests {
    /** Decoded, a body can take some six times its own size. */
    static final int MAX_BODY_BYTES = 1 << 20;
    /** Time after which no user waits for an answer any more. */
    static final long MAX_AGE_MICROS = 60 * Micros.SECOND;

    /** The requests that count, in the order of their receipt. */
    private final Set<PendingRequest> pending = new LinkedHashSet<>();

    private int bodyBytes;

    /** Returns the request to answer in place of the received one, or null if there is no room for its body. */
    Request admit(Request received, long nowMicros) {
        int bytes = received.body().length;
        if (bytes == 0) {
            return received;
        }
        releaseOld(nowMicros);
        if (bodyBytes + bytes > MAX_BODY_BYTES) {
            return null;
        }
        PendingRequest request = new PendingRequest(received, nowMicros);
        pending.add(request);
        bodyBytes += bytes;
        return request;
    }

    private void releaseOld(long nowMicros) {
        Iterator<PendingRequest> oldestFirst = pending.iterator();
        while (oldestFirst.hasNext()) {
            PendingRequest oldest = oldestFirst.next();
            if (nowMicros - oldest.receivedMicros < MAX_AGE_MICROS) {
                return;
            }
            oldestFirst.remove();
            bodyBytes -= oldest.body().length;
        }
    }

    /** A request whose body is counted until it is answered. */
    private final class PendingRequest implements Request {
        private final Request received;
        private final long receivedMicros;

        PendingRequest(Request received, long receivedMicros) {
            this.received = received;
            this.receivedMicros = receivedMicros;
        }

        @Override
        public String method() {
            return received.method();
        }

        @Override
        public String path() {
            return received.path();
        }

        @Override
        public byte[] body() {
            return received.body();
        }

        @Override
        public void answer(int status, byte[] json, int retryAfterSeconds) {
            release();
            received.answer(status, json, retryAfterSeconds);
        }

        @Override
        public void answerAndClose(int status, byte[] json, int retryAfterSeconds) {
            release();
            received.answerAndClose(status, json, retryAfterSeconds);
        }

        private void release() {
            if (pending.remove(this)) {
                bodyBytes -= received.body().length;
            }
        }
    }
}
