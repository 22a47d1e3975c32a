package io.micatide.model;

/**
 * Resources that a task requires or a machine has, in thousandths, so that sums are exact when they are compared with a team's limit.
 *
 * @param cpus CPUs in thousandths
 * @param gpus GPUs in thousandths
 * @param memory memory in thousandths of a GB
 */
public record Resources(long cpus, long gpus, long memory) {
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns resources from CPUs, GPUs and GB of memory, rounded up to thousandths. */
    public static Resources of(double cpus, double gpus, double memoryGb) {
        return new Resources(thousandths(cpus), thousandths(gpus), thousandths(memoryGb));
    }

    private static long thousandths(double amount) {
        return (long) Math.ceil(amount * 1000 - 1e-6);
    }

    public Resources plus(Resources other) {
        return new Resources(cpus + other.cpus, gpus + other.gpus, memory + other.memory);
    }

    public Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, gpus - other.gpus, memory - other.memory);
    }

    public Resources times(long count) {
        return new Resources(cpus * count, gpus * count, memory * count);
    }

    /** Returns the smaller amount of each resource. */
    public Resources min(Resources other) {
        return new Resources(Math.min(cpus, other.cpus), Math.min(gpus, other.gpus), Math.min(memory, other.memory));
    }

    /** Returns whether none of the resources exceeds the given capacity. */
    public boolean fitsIn(Resources capacity) {
        return cpus <= capacity.cpus && gpus <= capacity.gpus && memory <= capacity.memory;
    }

    /** Returns how many times these resources fit into the given capacity; {@link Long#MAX_VALUE} if they are all zero. */
    public long timesFittingIn(Resources capacity) {
        long count = Long.MAX_VALUE;
        if (cpus > 0) {
            count = Math.min(count, capacity.cpus / cpus);
        }
        if (gpus > 0) {
            count = Math.min(count, capacity.gpus / gpus);
        }
        if (memory > 0) {
            count = Math.min(count, capacity.memory / memory);
        }
        return Math.max(0, count);
    }
}
