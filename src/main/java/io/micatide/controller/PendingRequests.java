package io.micatide.controller;

import io.micatide.net.Request;

/**
 * Bounds the bodies of the user requests that are not answered yet, each of which is kept, in part also in decoded form, until its answer. Not
 * thread-safe.
 */
final class PendingRequests {
    /** Decoded, a body can take some six times its own size. */
    static final int MAX_BODY_BYTES = 1 << 20;

    private int bodyBytes;

    /** Returns the request to answer in place of the received one, or null if there is no room for its body. */
    Request admit(Request received) {
        int bytes = received.body().length;
        if (bytes == 0) {
            return received;
        }
        if (bodyBytes + bytes > MAX_BODY_BYTES) {
            return null;
        }
        bodyBytes += bytes;
        return new PendingRequest(received);
    }

    /** A request whose body is counted until it is answered. */
    private final class PendingRequest implements Request {
        private final Request received;

        PendingRequest(Request received) {
            this.received = received;
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
            bodyBytes -= received.body().length;
            received.answer(status, json, retryAfterSeconds);
        }

        @Override
        public void answerAndClose(int status, byte[] json, int retryAfterSeconds) {
            bodyBytes -= received.body().length;
            received.answerAndClose(status, json, retryAfterSeconds);
        }
    }
}
