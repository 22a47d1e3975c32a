package review2;

import io.micatide.model.MachineType;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Case 4: a gang of many tasks that is spread over zones holds up every controller that leads. */
final class GangCase extends Case {
    private static final int SMALL = 31;
    private static final int LARGE = 9;
    private static final int SERVICES = 6;
    private static final String GANG = "wk-000100";
    private static final String PROBE = "wk-000201";
    /** Longer than the 90 s for which no job may wait while a machine that fits has room. */
    private static final double PLAYED_SECONDS = 100;
    /** A job about which no question is answered for so long counts as forgotten. */
    private static final double FORGOTTEN_SECONDS = 75;

    public static void main(String[] arguments) {
        run(new GangCase(), arguments);
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
            List<String> services = new ArrayList<>();
            for (int i = 0; i < SERVICES; i++) {
                String id = String.format("wk-%06d", i);
                services.add(id);
                if (world.submit(id, World.job(id, "feed-desk", "daemon", "high", 1, 2, 8.1, 0), i).status() != 201) {
                    return COULD_NOT_RUN;
                }
            }
            if (!await(25, () -> services.stream().allMatch(id -> tasks.running(id) == 1))) {
                return COULD_NOT_RUN;
            }
            world.note("all services run");

            // The same resources in all, in few tasks or in many.
            String gang = World.job(
                            GANG, "feed-desk", "group", "normal", trouble ? 11_000 : 363, trouble ? 0.066 : 2, 0.5, 20)
                    .replace("\"scatter\":false", "\"scatter\":true");
            if (world.submit(GANG, gang, 0).status() != 201) {
                return COULD_NOT_RUN;
            }
            double acceptedAt = world.seconds();
            world.upload(PROBE, World.job(PROBE, "feed-desk", "daemon", "high", 1, 2, 8.1, 0));
            World.Answer probe = world.post(1, "/v1/jobs", World.job(PROBE, "feed-desk", "daemon", "high", 1, 2, 8.1, 0), 5);
            boolean probeAccepted = probe.status() == 201;
            world.note("submit " + PROBE + " at " + World.label(1) + ": " + probe.status() + " " + probe.body());
            double answeredAt = acceptedAt;
            double unanswered = 0;
            boolean asPromised = false;
            for (int k = 0; world.seconds() < acceptedAt + PLAYED_SECONDS && !asPromised; k++) {
                // A question goes to each node in turn.
                World.Answer answer = world.get(k % plan.controllers, "/v1/jobs/" + GANG, 2);
                if (k % 30 < plan.controllers) {
                    world.note(GANG + " at " + World.label(k % plan.controllers) + ": " + answer);
                }
                if (answer.status() == 200) {
                    answeredAt = world.seconds();
                }
                unanswered = Math.max(unanswered, world.seconds() - answeredAt);
                asPromised = tasks.running(PROBE) == 1 && tasks.done(GANG) > 0;
                sleep(0.2);
            }
            world.note(String.format("no question about %s was answered for %.1f s", GANG, unanswered));
            int killed = services.stream().mapToInt(tasks::killed).sum();
            world.note("leases of workers that ended: " + tasks.leasesExpired() + ", of " + SERVICES + " replicas killed: "
                    + killed);
            world.note(String.format(
                    "%.1f s after its acceptance %s was started %d times, %s %d times",
                    world.seconds() - acceptedAt, PROBE, tasks.started(PROBE), GANG, tasks.started(GANG)));
            for (int i = 0; i < plan.controllers; i++) {
                world.note(GANG + " at " + World.label(i) + ": " + world.get(i, "/v1/jobs/" + GANG, 2));
            }
            world.noteLogs("became leader", "process paused", "fenced", "ERROR");
            return probeAccepted && tasks.started(PROBE) == 0 || unanswered >= FORGOTTEN_SECONDS || !trouble && !asPromised
                    ? BROKEN
                    : HELD;
        }
    }
}
