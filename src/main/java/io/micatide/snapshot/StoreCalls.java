package io.micatide.snapshot;

import io.micatide.net.Reply;

/** Calls of the state service, one after the other, at the pace that whoever gives them keeps to. Each waits for its answer. */
public interface StoreCalls {
    Reply get(String path);

    Reply post(String path, byte[] body);

    /** Waits after an answer that asks for it. */
    void pause();
}
