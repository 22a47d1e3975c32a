package io.micatide.net;

/** A submission that keeps its answer. */
public final class RecordedRequest implements Request {
    private final byte[] body;
    private int status;
    private int retryAfterSeconds;

    public RecordedRequest(byte[] body) {
        this.body = body;
    }

    /** Returns the status of the answer, 0 without one. */
    public int status() {
        return status;
    }

    public int retryAfterSeconds() {
        return retryAfterSeconds;
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
    public void answer(int newStatus, byte[] json, int newRetryAfterSeconds) {
        status = newStatus;
        retryAfterSeconds = newRetryAfterSeconds;
    }

    @Override
    public void answerAndClose(int newStatus, byte[] json, int newRetryAfterSeconds) {
        answer(newStatus, json, newRetryAfterSeconds);
    }
}
