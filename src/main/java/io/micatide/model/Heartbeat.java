package io.micatide.model;

import java.util.List;

/** A worker's report. {@code spotNoticeMicros} is -1 without a spot notice. */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        long fencingToken,
        long spotNoticeMicros,
        List<TaskStatus> tasks) {

    public boolean isNewerThan(long otherIncarnation, long otherSequence) {
        return incarnation > otherIncarnation || (incarnation == otherIncarnation && sequence > otherSequence);
    }
}
