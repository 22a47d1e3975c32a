package io.micatide.net;

/** A request that waits for its answer; it must be answered exactly once. */
public interface Request {
    String method();

    /** With its query. */
    String path();

    byte[] body();

    /** @param retryAfterSeconds when to come back, or 0 */
    void answer(int status, byte[] json, int retryAfterSeconds);

    /** Answers and closes the connection, so that the user's next one leads to another controller. */
    void answerAndClose(int status, byte[] json, int retryAfterSeconds);

    default void answer(int status, byte[] json) {
        answer(status, json, 0);
    }
}
