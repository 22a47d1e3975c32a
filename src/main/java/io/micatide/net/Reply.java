package io.micatide.net;

/**
 * What became of a request. Without an answer {@code status} is 0, and {@code sent} tells whether the request may have
 * been carried out, now or later.
 */
public record Reply(int status, byte[] body, boolean sent) {
    private static final byte[] EMPTY = new byte[0];
    public static final Reply NOT_SENT = new Reply(0, EMPTY, false);
    public static final Reply UNANSWERED = new Reply(0, EMPTY, true);

    public boolean ok() {
        return status == 200;
    }

    /** The service answered, and not that it is away. */
    boolean isServiceAvailable() {
        return status != 0 && status != 503;
    }

    /** True when the request was certainly not executed. */
    public boolean notExecuted() {
        return status == 503 || status == 429 || (status == 0 && !sent);
    }
}
