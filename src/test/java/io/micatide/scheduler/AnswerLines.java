package io.micatide.scheduler;

import io.micatide.model.Command;
import io.micatide.protocol.WorkerCodec;
import java.util.List;

/** Measures the lines of an answer to a heartbeat, which the protocol limits. */
final class AnswerLines {
    private AnswerLines() {}

    /** Returns the number of bytes of the longest line. */
    static int longestBytes(long fencingToken, List<Command> commands) {
        int longest = 0;
        int length = 0;
        for (byte each : WorkerCodec.answer(fencingToken, commands)) {
            length = each == '\n' ? 0 : length + 1;
            longest = Math.max(longest, length);
        }
        return longest;
    }
}
