package review2;

import io.micatide.model.MachineType;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** Case 7: a spot notice that meets the start of a gang lets its team use more than its limit. */
final class NoticeCase extends Case {
    private static final String GANG = "wk-000100";
    private static final int GANG_TASKS = 800;
    private static final double GANG_CPUS = 0.05;
    private static final String ARRAY = "wk-000200";
    private static final double LIMIT = 60;
    private static final double NOTICE_SECONDS = 12;

    public static void main(String[] arguments) {
        run(new NoticeCase(), arguments);
    }

    @Override
    int play(Path record) throws Exception {
        World.Plan plan = new World.Plan();
        MachineType large = crokerLarge(plan.zones);
        plan.types = List.of(large);
        plan.machines = 4;
        plan.teams = "[[deployment.teams]]\nname = \"feed-desk\"\ncpus_max = " + LIMIT + "\n";
        try (World world = new World(plan, record, tasks)) {
            world.startAll();
            String zone = plan.zones.get(0);
            world.addSpotMachine(large, zone);
            if (!await(5, () -> world.workers() == 1)) {
                return COULD_NOT_RUN;
            }
            sleep(3);
            AtomicBoolean noticed = new AtomicBoolean();
            world.onAnswer((machine, answer) -> {
                int starts = answer.split("\"start\"", -1).length - 1;
                if (starts > 0 && machine.spot() && answer.contains(GANG)) {
                    world.note("answer to " + machine.name() + ": " + starts + " starts");
                    if (trouble && noticed.compareAndSet(false, true)) {
                        world.takeBack(machine.name(), NOTICE_SECONDS);
                    }
                }
            });
            String gang = World.job(GANG, "feed-desk", "group", "normal", GANG_TASKS, GANG_CPUS, 0.1, 60)
                    .replace("\"halftimeS\":0.0,\"stowS\":0.0", "\"halftimeS\":10.0,\"stowS\":1.0");
            if (world.submit(GANG, gang, 0).status() != 201) {
                return COULD_NOT_RUN;
            }
            if (!await(15, () -> trouble ? noticed.get() : tasks.running(GANG) == GANG_TASKS)) {
                return COULD_NOT_RUN;
            }
            for (int i = 0; i < plan.machines - 1; i++) {
                world.addMachine(large, zone);
            }
            String array = World.job(ARRAY, "feed-desk", "batch", "normal", 100, 1, 1, 60);
            if (world.submit(ARRAY, array, 1).status() != 201) {
                return COULD_NOT_RUN;
            }
            double most = 0;
            double until = world.seconds() + 30;
            for (int k = 0; world.seconds() < until; k++) {
                Map<String, Integer> running = tasks.running();
                double used = GANG_CPUS * running.getOrDefault(GANG, 0) + running.getOrDefault(ARRAY, 0);
                if (used > most || k % 50 == 0) {
                    world.note(String.format("on machines: %s, %.2f CPUs of %.0f", running, used, LIMIT));
                }
                most = Math.max(most, used);
                sleep(0.1);
            }
            world.note(String.format("the team used up to %.2f CPUs, its limit is %.0f", most, LIMIT));
            world.noteLogs("became leader", "process paused", "ERROR");
            if (tasks.started(ARRAY) == 0 || !trouble && tasks.started(GANG) == 0) {
                return COULD_NOT_RUN;
            }
            return most > LIMIT + 0.001 ? BROKEN : HELD;
        }
    }
}
