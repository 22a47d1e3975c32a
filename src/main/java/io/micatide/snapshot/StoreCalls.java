package io.micatide.snapshot;

import io.micatide.net.Reply;

/** Blocking calls of the store, one after the other, at the pace that the implementation keeps to. */
public interface StoreCalls {
    /**
     * Sends a GET and waits for its answer.
     *
     * @param path with its query
     * @return the answer, or that there was none
     */
    Reply get(String path);

    /**
     * Sends a POST and waits for its answer.
     *
     * @param path with its query
     * @param body JSON
     * @return the answer, or that there was none
     */
    Reply post(String path, byte[] body);

    /** Waits for a while, after an answer that asks for a later try or none at all. */
    void pause();
}
