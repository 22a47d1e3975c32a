package io.micatide.model;

/** What a task takes or a machine has, in thousandths, so that sums against a team's limit are exact. */
public record Resources(long cpus, long gpus, long memory) {
    public static final Resources NONE = new Resources(0, 0, 0);

    public static Resources of(double cpus, double cards, double memoryGb) {
        return new Resources(thousandths(cpus), thousandths(cards), thousandths(memoryGb));
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

    /** The lesser of each. */
    public Resources min(Resources other) {
        return new Resources(Math.min(cpus, other.cpus), Math.min(gpus, other.gpus), Math.min(memory, other.memory));
    }

    public boolean fitsIn(Resources room) {
        return cpus <= room.cpus && gpus <= room.gpus && memory <= room.memory;
    }

    /** How many of these fit into {@code room} at the same time. */
    public long timesFittingIn(Resources room) {
        long count = Long.MAX_VALUE;
        if (cpus > 0) {
            count = Math.min(count, room.cpus / cpus);
        }
        if (gpus > 0) {
            count = Math.min(count, room.gpus / gpus);
        }
        if (memory > 0) {
            count = Math.min(count, room.memory / memory);
        }
        return Math.max(0, count);
    }
}
