package review2;

import io.micatide.model.MachineType;
import java.nio.file.Path;
import java.util.List;

/** Case 8: a job that allows no machine type is accepted, and its tasks are started on one. */
final class NoTypeCase extends Case {
    private static final String JOB = "wk-000001";
    private static final int TASKS = 2;

    public static void main(String[] arguments) {
        run(new NoTypeCase(), arguments);
    }

    @Override
    int play(Path record) throws Exception {
        World.Plan plan = new World.Plan();
        MachineType small = hurlerSmall(plan.zones);
        plan.types = List.of(small);
        plan.machines = plan.zones.size();
        try (World world = new World(plan, record, tasks)) {
            world.startAll();
            for (String zone : plan.zones) {
                world.addMachine(small, zone);
            }
            String builds = trouble ? "\"builds\":[]" : "\"builds\":[\"hurler-small\"]";
            String job = World.job(JOB, "feed-desk", "batch", "normal", TASKS, 2, 8.1, 3)
                    .replace("\"builds\":null", builds);
            world.note("the job has " + builds);
            World.Answer answer = world.submit(JOB, job, 0);
            boolean accepted = answer.status() == 201;
            if (!accepted && answer.status() != 422) {
                return COULD_NOT_RUN;
            }
            await(20, () -> tasks.done(JOB) == TASKS);
            world.note(String.format(
                    "accepted: %s; its tasks started on machines of the type %s: %d, done: %d; polls: %s",
                    accepted, small.name(), tasks.started(JOB), tasks.done(JOB), world.get(1, "/v1/jobs/" + JOB, 2)));
            if (!trouble) {
                return tasks.done(JOB) == TASKS ? HELD : BROKEN;
            }
            return tasks.started(JOB) > 0 ? BROKEN : HELD;
        }
    }
}
