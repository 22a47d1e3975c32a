package io.micatide.model;

import java.util.List;

/**
 * The description of a job by its user.
 *
 * @param id of the job
 * @param jobClass class of the job, for objectives and run time estimates
 * @param team that owns the job
 * @param kind how the tasks relate to each other
 * @param priority of the job
 * @param taskCount number of tasks
 * @param taskResources resources of each task
 * @param image name of the image that the tasks run
 * @param imageGb size of the image in GB
 * @param machineTypes allowed machine types, empty for any
 * @param zone the only allowed zone, or null
 * @param singleZone whether all tasks have to run in the same zone
 * @param spreadOverZones whether the tasks have to be spread over zones, see {@link #maxTasksPerZone}
 * @param spotAllowed whether tasks may run on spot instances
 * @param estimatedRuntimeMicros the owner's estimate of the run time of a task; often off by half
 * @param checkpointIntervalMicros interval between checkpoints of a task; 0 if the task has no checkpoints
 * @param saveMicros time that a task takes to save a checkpoint
 * @param deadlineMicros deadline relative to the submission, or -1 for none
 * @param dependencies ids of the jobs that have to be done before any task of this job starts
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

    /** Creates the description of a job without dependencies. */
    public JobSpec(
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
            long deadlineMicros) {
        this(
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
                List.of());
    }

    /** Returns a copy with the given dependencies. */
    public JobSpec withDependencies(List<String> newDependencies) {
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
                newDependencies);
    }

    /** Returns a copy with only what a leader needs to know of a cancelled job: the team and resources of its remaining tasks. */
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

    /** Returns the maximum number of tasks in a zone: half of them, rounded up, if the job is to be spread over zones. */
    public int maxTasksPerZone() {
        return spreadOverZones ? (taskCount + 1) / 2 : Integer.MAX_VALUE;
    }

    /** Returns whether tasks may run on machines of the given type in the given zone, as spot instances or on demand. */
    public boolean allowsMachine(String type, String inZone, boolean onSpot) {
        return (machineTypes.isEmpty() || machineTypes.contains(type))
                && (zone == null || zone.equals(inZone))
                && (spotAllowed || !onSpot);
    }
}
