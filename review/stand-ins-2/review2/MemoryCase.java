package review2;

import io.micatide.model.MachineType;
import java.nio.file.Path;
import java.util.List;

/** Case 6: arrays of many small tasks take more memory than a controller may use, and one controller after the other ends. */
final class MemoryCase extends Case {
    private static final int SMALL = 31;
    private static final int LARGE = 9;
    private static final int ARRAYS = 4;
    private static final double PLAYED_SECONDS = 60;

    public static void main(String[] arguments) {
        run(new MemoryCase(), arguments);
    }

    @Override
    int play(Path record) throws Exception {
        World.Plan plan = new World.Plan();
        MachineType small = hurlerSmall(plan.zones);
        MachineType large = crokerLarge(plan.zones);
        plan.types = List.of(small, large);
        plan.machines = SMALL + LARGE;
        try (World world = new World(plan, record, tasks)) {
            world.startAll();
            for (int i = 0; i < SMALL + LARGE; i++) {
                world.addMachine(i < SMALL ? small : large, plan.zones.get(i % plan.zones.size()));
            }
            String service = "wk-000000";
            boolean served =
                    world.submit(service, World.job(service, "feed-desk", "daemon", "high", 2, 2, 8.1, 0), 0).status()
                                    == 201
                            && await(25, () -> tasks.running(service) == 2);
            if (!served) {
                return COULD_NOT_RUN;
            }
            world.note("the service runs");
            sleep(3);
            for (int i = 0; i < ARRAYS; i++) {
                String id = String.format("wk-%06d", 100 + i);
                String job = trouble
                        ? World.job(id, "feed-desk", "batch", "normal", 100_000, 0.002, 0.01, 20)
                        : World.job(id, "feed-desk", "batch", "normal", 100_000, 2, 8.1, 20);
                if (world.submit(id, job, i).status() != 201) {
                    world.note(id + " was not accepted");
                }
            }
            double submittedAt = world.seconds();
            int ends = 0;
            while (world.seconds() < submittedAt + PLAYED_SECONDS && !(ends > 0 && world.seconds() > submittedAt + 30)) {
                for (int i = 0; i < plan.controllers; i++) {
                    if (!world.alive(i)) {
                        ends++;
                        world.note(World.label(i) + " ended by itself, exit code " + world.exitCode(i));
                        world.start(i);
                    }
                }
                sleep(0.2);
            }
            world.note(String.format(
                    "controllers that ended by themselves: %d; tasks started %d, done %d; replicas of %s killed: %d",
                    ends,
                    started(),
                    done(),
                    service,
                    tasks.killed(service)));
            world.noteLogs("became leader", "process paused", "OutOfMemory", "ERROR");
            if (!trouble && started() == 0) {
                return BROKEN;
            }
            return ends > 0 ? BROKEN : HELD;
        }
    }

    private int started() {
        int sum = 0;
        for (int i = 0; i < ARRAYS; i++) {
            sum += tasks.started(String.format("wk-%06d", 100 + i));
        }
        return sum;
    }

    private int done() {
        int sum = 0;
        for (int i = 0; i < ARRAYS; i++) {
            sum += tasks.done(String.format("wk-%06d", 100 + i));
        }
        return sum;
    }
}
