package review2;

import io.micatide.model.MachineType;
import java.nio.file.Path;
import java.util.List;

/** Case 7: a machine is given more tasks than its worker can report in one request, and loses all of them when its lease ends. */
final class ReportCase extends Case {
    private static final int LARGE = 2;
    private static final int SMALL = 6;
    private static final String SERVICE = "wk-000000";
    private static final String ARRAY = "wk-000100";
    private static final double RUNTIME_SECONDS = 25;
    private static final double PLAYED_SECONDS = 100;

    public static void main(String[] arguments) {
        run(new ReportCase(), arguments);
    }

    @Override
    int play(Path record) throws Exception {
        World.Plan plan = new World.Plan();
        MachineType small = hurlerSmall(plan.zones);
        MachineType large = crokerLarge(plan.zones);
        plan.types = List.of(small, large);
        plan.machines = LARGE + SMALL;
        try (World world = new World(plan, record, tasks)) {
            world.startAll();
            for (int i = 0; i < LARGE; i++) {
                world.addMachine(large, plan.zones.get(i % plan.zones.size()));
            }
            for (int i = 0; i < SMALL; i++) {
                world.addMachine(small, plan.zones.get(i % plan.zones.size()));
            }
            String onLarge = "\"builds\":[\"croker-large\"]";
            String service = World.job(SERVICE, "feed-desk", "daemon", "high", 2, 2, 8.1, 0)
                    .replace("\"builds\":null", onLarge);
            if (world.submit(SERVICE, service, 0).status() != 201 || !await(25, () -> tasks.running(SERVICE) == 2)) {
                return COULD_NOT_RUN;
            }
            world.note("the service runs");
            // The same resources in all, in many tasks or in few.
            String array = World.job(
                            ARRAY,
                            "feed-desk",
                            "batch",
                            "normal",
                            trouble ? 2_400 : 60,
                            trouble ? 0.05 : 2,
                            0.2,
                            RUNTIME_SECONDS)
                    .replace("\"builds\":null", onLarge);
            if (world.submit(ARRAY, array, 1).status() != 201) {
                return COULD_NOT_RUN;
            }
            double acceptedAt = world.seconds();
            boolean done = false;
            for (int k = 0; world.seconds() < acceptedAt + PLAYED_SECONDS && !done; k++) {
                World.Answer answer = world.get(k % plan.controllers, "/v1/jobs/" + ARRAY, 2);
                done = answer.standing().equals("done");
                if (k % 10 == 0 || done) {
                    world.note(String.format(
                            "%s: %s; on machines %d, started %d, done %d, killed %d; replicas killed %d, leases ended %d",
                            ARRAY,
                            answer.body(),
                            tasks.running(ARRAY),
                            tasks.started(ARRAY),
                            tasks.done(ARRAY),
                            tasks.killed(ARRAY),
                            tasks.killed(SERVICE),
                            tasks.leasesExpired()));
                }
                sleep(0.5);
            }
            world.note("answers 400 to reports: " + world.malformedReports());
            world.noteLogs("became leader", "process paused", "ERROR");
            if (!trouble) {
                return done && tasks.killed(SERVICE) == 0 ? HELD : BROKEN;
            }
            // Four times as long as a task runs, and not one is done.
            return tasks.done(ARRAY) == 0 ? BROKEN : HELD;
        }
    }
}
