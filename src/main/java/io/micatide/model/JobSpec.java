package io.micatide.model;

import java.util.List;

/**
 * A job as its user described it.
 *
 * @param machineTypes allowed machine types, empty for any
 * @param zone the only allowed zone, or null
 * @param estimatedRuntimeMicros the owner's estimate of a task's run time; often wrong by half
 * @param checkpointIntervalMicros 0: the task never saves
 * @param deadlineMicros from submission, or -1
 * @param dependencies jobs that have to be done before any task of this one starts
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        JobKind kind,
        Priority priority,
        int taskCount,
        Resources taskResources,
        String image,
        double imageGb,
        List<String> machineTypes,
        String zone,
        boolean singleZone,
        boolean spreadOverZones,
        boolean spotAllowed,
        long estimatedRuntimeMicros,
        long checkpointIntervalMicros,
        long saveMicros,
        long deadlineMicros,
        List<String> dependencies) {

    /** A job that needs no other. */
    public JobSpec(
            String id,
            String jobClass,
            String team,
            JobKind kind,
            Priority priority,
            int tasks,
            Resources each,
            String image,
            double imageGb,
            List<String> types,
            String zone,
            boolean oneZone,
            boolean spread,
            boolean spot,
            long estimateMicros,
            long checkpointMicros,
            long saveMicros,
            long deadlineMicros) {
        this(
                id,
                jobClass,
                team,
                kind,
                priority,
                tasks,
                each,
                image,
                imageGb,
                types,
                zone,
                oneZone,
                spread,
                spot,
                estimateMicros,
                checkpointMicros,
                saveMicros,
                deadlineMicros,
                List.of());
    }

    public JobSpec withDependencies(List<String> others) {
        return new JobSpec(
                id,
                jobClass,
                team,
                kind,
                priority,
                taskCount,
                taskResources,
                image,
                imageGb,
                machineTypes,
                zone,
                singleZone,
                spreadOverZones,
                spotAllowed,
                estimatedRuntimeMicros,
                checkpointIntervalMicros,
                saveMicros,
                deadlineMicros,
                others);
    }

    /** What a leader has to know of a cancelled job: whose its tasks are and what they take. */
    public JobSpec withPlacementFieldsOnly() {
        return new JobSpec(
                id,
                "-",
                team,
                kind,
                priority,
                taskCount,
                taskResources,
                "-",
                0,
                List.of(),
                null,
                singleZone,
                spreadOverZones,
                spotAllowed,
                estimatedRuntimeMicros,
                checkpointIntervalMicros,
                saveMicros,
                -1,
                List.of());
    }

    /** Most tasks that may be in one zone when the job asks to be spread. */
    public int maxTasksPerZone() {
        return spreadOverZones ? (taskCount + 1) / 2 : Integer.MAX_VALUE;
    }

    public boolean allowsMachine(String type, String inZone, boolean onSpot) {
        return (machineTypes.isEmpty() || machineTypes.contains(type))
                && (zone == null || zone.equals(inZone))
                && (spotAllowed || !onSpot);
    }
}
