package io.micatide.net;

/**
 * Outcome of a request.
 *
 * @param status HTTP status, 0 if there was no answer, negative if the answer was too large
 * @param body body of the answer, empty if there was none
 * @param sent whether the request may have reached the service; without an answer it may then have been executed, or may be later
 */
public record Reply(int status, byte[] body, boolean sent) {
    private static final byte[] EMPTY = new byte[0];
    private static final int TOO_LARGE_STATUS = -1;
    /** No answer, since the request was not sent: it was certainly not executed. */
    public static final Reply NOT_SENT = new Reply(0, EMPTY, false);
    /** No answer to a request that was sent: whether it was or will be executed is unknown. */
    public static final Reply UNANSWERED = new Reply(0, EMPTY, true);

    /** An answer whose body is larger than the client takes; the body is not kept. */
    public static final Reply TOO_LARGE = new Reply(TOO_LARGE_STATUS, EMPTY, true);

    /** Returns whether the service answered with a larger body than the client takes. */
    public boolean isTooLarge() {
        return status == TOO_LARGE_STATUS;
    }

    /** Returns whether the status is 200. */
    public boolean ok() {
        return status == 200;
    }

    /** Returns whether the service answered with a status other than 503, by which it reports itself unavailable. */
    boolean isServiceAvailable() {
        return status != 0 && status != 503;
    }

    /** Returns whether the request was certainly not executed: it was not sent, or the answer is 429 or 503. */
    public boolean notExecuted() {
        return status == 503 || status == 429 || (status == 0 && !sent);
    }
}
