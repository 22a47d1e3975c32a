package io.micatide.core;

import java.util.List;

/**
 * A job as its user described it.
 *
 * @param types allowed machine types, empty for any
 * @param zone the only allowed zone, or null
 * @param estimateMicros the owner's estimate of a task's run time; often wrong by half
 * @param checkpointMicros 0: the task never saves
 * @param deadlineMicros from submission, or -1
 */
public record JobSpec(
        String id, String jobClass, String team, JobKind kind, Priority priority, int tasks, Resources each,
        String image, double imageGb, List<String> types, String zone, boolean oneZone, boolean spread, boolean spot,
        long estimateMicros, long checkpointMicros, long saveMicros, long deadlineMicros) {

    /** Most tasks that may be in one zone when the job asks to be spread. */
    public int mostInOneZone() {
        return spread ? (tasks + 1) / 2 : Integer.MAX_VALUE;
    }

    public boolean allowsMachine(String type, String inZone, boolean onSpot) {
        return (types.isEmpty() || types.contains(type)) && (zone == null || zone.equals(inZone)) && (spot || !onSpot);
    }
}
