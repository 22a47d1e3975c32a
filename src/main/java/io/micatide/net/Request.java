package io.micatide.net;

/** A request received by {@link HttpServer} that must be answered exactly once. */
public interface Request {
    /** Returns the HTTP method as the client sent it. */
    String method();

    /** Returns the path including the query. */
    String path();

    /** Returns the body, empty if there is none. */
    byte[] body();

    /**
     * Answers the request.
     *
     * @param status HTTP status
     * @param json body of the answer
     * @param retryAfterSeconds value of the Retry-After header, 0 for none
     */
    void answer(int status, byte[] json, int retryAfterSeconds);

    /** Answers and closes the connection, so that the user's next connection may reach another controller. */
    void answerAndClose(int status, byte[] json, int retryAfterSeconds);

    /** Answers without a Retry-After header. */
    default void answer(int status, byte[] json) {
        answer(status, json, 0);
    }
}
