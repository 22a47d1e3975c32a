package io.micatide.simulation.scale;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** What a scale run may take of the machine that it is played on; checked before anything is started. */
final class ScaleLimits {
    static final int MOST_PROCESSES = 100;
    private static final double MEMORY_SHARE = 0.5;
    /** A controller's heap, code, class archive and threads with the flags of deploy/service.toml, rounded up. */
    private static final long CONTROLLER_BYTES = 160L << 20;

    private static final long OWN_BYTES = 400L << 20;
    private static final long WORKER_BYTES = 200L << 10;
    /** A worker listens, is connected to a controller, and may have one direct command under way. */
    private static final int FILES_PER_WORKER = 3;

    private static final int OTHER_FILES = 2_000;

    private final long memoryBytes;
    private final long files;

    ScaleLimits(long memoryBytes, long files) {
        this.memoryBytes = memoryBytes;
        this.files = files;
    }

    static ScaleLimits ofThisMachine() {
        OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        long files =
                system instanceof UnixOperatingSystemMXBean unix ? unix.getMaxFileDescriptorCount() : Long.MAX_VALUE;
        return new ScaleLimits(system.getTotalMemorySize(), files);
    }

    /** @throws ScalePlan.InvalidPlanException the plan takes more than half of the memory, too many processes or files */
    void check(ScalePlan plan) throws ScalePlan.InvalidPlanException {
        int processes = plan.controllers() + 1;
        if (processes > MOST_PROCESSES) {
            throw new ScalePlan.InvalidPlanException(
                    "--controllers: " + processes + " processes, at most " + MOST_PROCESSES + " are allowed");
        }
        long needed = OWN_BYTES + plan.controllers() * CONTROLLER_BYTES + plan.workers() * WORKER_BYTES;
        long allowed = (long) (memoryBytes * MEMORY_SHARE);
        if (needed > allowed) {
            throw new ScalePlan.InvalidPlanException("this plan takes about " + (needed >> 20) + " MB, half of this"
                    + " machine's memory is " + (allowed >> 20) + " MB: fewer controllers or workers fit");
        }
        long filesNeeded = (long) FILES_PER_WORKER * plan.workers() + OTHER_FILES;
        if (filesNeeded > files) {
            throw new ScalePlan.InvalidPlanException("--workers: " + plan.workers() + " take about " + filesNeeded
                    + " open files, this process may have " + files);
        }
    }
}
