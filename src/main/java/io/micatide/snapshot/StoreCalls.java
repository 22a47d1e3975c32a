package io.micatide.snapshot;

import io.micatide.net.Reply;

/** Blocking calls of the store, one at a time; the implementation limits their rate. */
public interface StoreCalls {
    /**
     * Sends a GET and waits for its answer.
     *
     * @param path path with its query
     * @return the answer, or a reply that marks a missing answer
     */
    Reply get(String path);

    /**
     * Sends a POST and waits for its answer.
     *
     * @param path path with its query
     * @param body JSON body of the request
     * @return the answer, or a reply that marks a missing answer
     */
    Reply post(String path, byte[] body);

    /** Waits before a retry, after a missing answer or an answer that requests a later attempt. */
    void pause();
}
