package review2;

import io.micatide.model.MachineType;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Case 7: a spot notice to a machine on which tasks of a waiting gang are to be replaced lets the team use more than its limit. */
final class NoticeCase extends Case {
    private static final String GANG = "wk-000100";
    private static final int GANG_TASKS = 4;
    private static final String ARRAY = "wk-000200";
    private static final double TASK_CPUS = 2;
    private static final double LIMIT = GANG_TASKS * TASK_CPUS;
    private static final double NOTICE_SECONDS = 12;
    private static final Pattern START = Pattern.compile("\"start\",\"leg\":\"(" + GANG + "/[0-9]+)\"");

    public static void main(String[] arguments) {
        run(new NoticeCase(), arguments);
    }

    @Override
    int play(Path record) throws Exception {
        World.Plan plan = new World.Plan();
        MachineType small = hurlerSmall(plan.zones);
        plan.types = List.of(small);
        plan.machines = 5;
        plan.teams = "[[deployment.teams]]\nname = \"feed-desk\"\ncpus_max = " + LIMIT + "\n";
        try (World world = new World(plan, record, tasks)) {
            world.startAll();
            Map<String, String> placedAt = new ConcurrentHashMap<>();
            world.onAnswer((machine, answer) -> {
                for (Matcher starts = START.matcher(answer); starts.find(); ) {
                    world.note("start of " + starts.group(1) + " at " + machine.name());
                    placedAt.putIfAbsent(starts.group(1), machine.name());
                }
            });
            String zone = plan.zones.get(0);
            world.addSpotMachine(small, zone);
            world.addSpotMachine(small, zone);
            for (int i = 0; i < plan.machines - 2; i++) {
                world.addMachine(small, plan.zones.get(1));
            }
            sleep(4);
            // A gang on the two spot machines of its zone, whose image takes some 10 s.
            String gang = World.job(GANG, "feed-desk", "group", "normal", GANG_TASKS, TASK_CPUS, 4, 60)
                    .replace("\"halftimeS\":0.0,\"stowS\":0.0", "\"halftimeS\":10.0,\"stowS\":1.0")
                    .replace("\"sizeGb\":0.5", "\"sizeGb\":3.0")
                    .replace("\"ground\":null", "\"ground\":\"" + zone + "\"");
            if (world.submit(GANG, gang, 0).status() != 201 || !await(10, () -> placedAt.size() == GANG_TASKS)) {
                return COULD_NOT_RUN;
            }
            sleep(2);
            String stays = placedAt.get(GANG + "/0");
            String goes = placedAt.values().stream()
                    .filter(name -> !name.equals(stays))
                    .findFirst()
                    .orElse(null);
            if (goes == null) {
                world.note("the gang is on one machine");
                return COULD_NOT_RUN;
            }
            if (trouble) {
                double reported = world.lastReport(goes);
                world.takeBackSilently(goes);
                // The gang's tasks there are lost when the lease is over, and are placed anew where the others wait.
                sleep(reported + plan.leaseS - world.seconds());
                world.takeBack(stays, NOTICE_SECONDS);
            }
            String array = World.job(ARRAY, "feed-desk", "batch", "normal", 10, TASK_CPUS, 4, 60);
            if (world.submit(ARRAY, array, 1).status() != 201) {
                return COULD_NOT_RUN;
            }
            double most = 0;
            double until = world.seconds() + 45;
            for (int k = 0; world.seconds() < until; k++) {
                Map<String, Integer> running = tasks.running();
                double used = TASK_CPUS * (running.getOrDefault(GANG, 0) + running.getOrDefault(ARRAY, 0));
                if (used > most || k % 50 == 0) {
                    world.note(String.format("on machines: %s, %.0f CPUs of %.0f", running, used, LIMIT));
                }
                most = Math.max(most, used);
                sleep(0.1);
            }
            world.note(String.format("the team used up to %.0f CPUs, its limit is %.0f", most, LIMIT));
            world.noteLogs("became leader", "process paused", "ERROR");
            if (most == 0) {
                return COULD_NOT_RUN;
            }
            return most > LIMIT ? BROKEN : HELD;
        }
    }
}
