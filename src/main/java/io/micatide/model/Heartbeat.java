package io.micatide.model;

import java.util.List;

/** A worker's report. {@code noticeMicros} is -1 without a spot notice. */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long session,
        long sequence,
        long token,
        long noticeMicros,
        List<TaskStatus> tasks) {

    public boolean newerThan(long otherSession, long otherSequence) {
        return session > otherSession || (session == otherSession && sequence > otherSequence);
    }
}
