package review2;

import io.micatide.controller.NettyActorExecutor;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.simulation.SimulatedStore;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Case 5: controllers that are started while a snapshot is restored serve an empty state, and then nothing at all. */
final class RestoreCase extends Case {
    private static final String TEAM = "care-platform";
    private static final String DONE = "wk-000001";
    private static final String SERVICE = "wk-000002";
    private static final int MORE_JOBS = 30;
    /** No job may wait so long while a machine that fits has room. */
    private static final double WAIT_SECONDS = 90;
    private static final double LAST_SECOND = 114;
    /** A job about which no question is answered for so long counts as forgotten. */
    private static final double FORGOTTEN_SECONDS = 75;

    public static void main(String[] arguments) {
        run(new RestoreCase(), arguments);
    }

    @Override
    int play(Path record) throws Exception {
        World.Plan plan = new World.Plan();
        asAtCascadia(plan);
        MachineType node = plan.types.get(0);
        try (World world = new World(plan, record, tasks)) {
            world.startAll();
            for (int i = 0; i < 6; i++) {
                world.addMachine(node, plan.zones.get(i % plan.zones.size()));
            }
            boolean accepted = world.submit(DONE, World.job(DONE, TEAM, "batch", "normal", 1, 2, 8.1, 1), 0)
                                    .status()
                            == 201
                    && world.submit(SERVICE, World.job(SERVICE, TEAM, "daemon", "high", 1, 2, 8.1, 0), 1)
                                    .status()
                            == 201;
            for (int i = 0; i < MORE_JOBS; i++) {
                String id = String.format("wk-%06d", 100 + i);
                world.submit(id, World.job(id, TEAM, "batch", "normal", 1, 2, 8.1, 1), i);
            }
            if (!accepted
                    || !await(15, () -> tasks.running(SERVICE) == 1
                            && world.get(2, "/v1/jobs/" + DONE, 2).standing().equals("done"))) {
                return COULD_NOT_RUN;
            }
            world.note(DONE + " is done, " + SERVICE + " runs");
            Path snapshot = Path.of(world.settingsFile(0) + ".snapshot");
            Process save = snapshotCommand(world, "save", snapshot.toString(), "--rate", "40");
            if (save.waitFor() != 0) {
                return COULD_NOT_RUN;
            }
            for (int i = 0; i < plan.controllers; i++) {
                world.kill(i);
            }
            world.store = new SimulatedStore(
                    new NettyActorExecutor(world.stateLoop),
                    new SimulatedStore.Limits(plan.rps, plan.writeRps, (int) (plan.valueKb * 1024), plan.txnOps));
            world.note("the state service is empty; the restore begins");
            Process restore = snapshotCommand(world, "restore", snapshot.toString(), "--advance");
            if (trouble) {
                if (!await(20, () -> world.stored("job/being-restored"))) {
                    return COULD_NOT_RUN;
                }
                sleep(0.5);
                world.note("the marker is written, the restore goes on: " + restore.isAlive());
                for (int i = 0; i < plan.controllers; i++) {
                    world.start(i);
                }
            }
            int ended = restore.waitFor();
            double restoredAt = world.seconds();
            noteOutput(world);
            for (int tries = 0; ended != 0 && tries < 2; tries++) {
                // As the operators' page has it: repeat it with the same file.
                world.note("the restore ended with " + ended);
                ended = snapshotCommand(world, "restore", snapshot.toString(), "--advance").waitFor();
                noteOutput(world);
            }
            world.note("the restore is over, with " + ended);
            if (!trouble) {
                for (int i = 0; i < plan.controllers; i++) {
                    world.start(i);
                }
            }
            int startedBefore = tasks.started(SERVICE);
            double answeredAt = restoredAt;
            double unanswered = 0;
            int notKnown = 0;
            boolean ran = false;
            boolean asPromised = false;
            for (int k = 0; world.seconds() < Math.min(restoredAt + WAIT_SECONDS + 1, LAST_SECOND) && !asPromised; k++) {
                boolean known = true;
                for (int i = 0; i < plan.controllers; i++) {
                    World.Answer health = world.get(i, "/healthz", 1);
                    World.Answer done = world.get(i, "/v1/jobs/" + DONE, 2);
                    World.Answer service = world.get(i, "/v1/jobs/" + SERVICE, 2);
                    known &= done.standing().equals("done") && service.status() == 200;
                    notKnown += (done.status() == 404 ? 1 : 0) + (service.status() == 404 ? 1 : 0);
                    if (done.status() == 200) {
                        answeredAt = world.seconds();
                    }
                    if (k % 10 == 0) {
                        world.note(World.label(i) + ": /healthz " + health.status() + ", " + DONE + " " + done + ", "
                                + SERVICE + " " + service);
                    }
                }
                unanswered = Math.max(unanswered, world.seconds() - answeredAt);
                // Until its lease ends, the machine may still have the task of before.
                ran |= tasks.running(SERVICE) == 1 && world.seconds() > restoredAt + plan.leaseS;
                asPromised = known && ran;
                sleep(1);
            }
            world.note(String.format(
                    "no question about %s was answered for %.1f s; answers 404: %d", DONE, unanswered, notKnown));
            world.note(String.format(
                    "%.1f s after the restore: tasks of %s on machines %d, started since then %d; leases of workers that ended: %d",
                    world.seconds() - restoredAt,
                    SERVICE,
                    tasks.running(SERVICE),
                    tasks.started(SERVICE) - startedBefore,
                    tasks.leasesExpired()));
            world.noteLogs("became leader", "WARN", "ERROR");
            boolean waited = world.seconds() > restoredAt + WAIT_SECONDS;
            return !ran && waited || notKnown > 0 || unanswered >= FORGOTTEN_SECONDS || !trouble && !asPromised ? BROKEN : HELD;
        }
    }

    /** What the site cascadia-rehab has otherwise. */
    private static void asAtCascadia(World.Plan plan) {
        plan.zones = List.of("tacoma-rack", "bellingham-rack");
        plan.reportS = 1.5;
        plan.gangWaitS = 35;
        plan.gangPeerS = 8;
        plan.cancelS = 40;
        plan.rps = 250;
        plan.writeRps = 100;
        plan.valueKb = 32;
        plan.txnOps = 32;
        plan.cloudRps = 5;
        plan.listLagS = 8;
        plan.cores = 0.34;
        plan.memoryMb = 205;
        plan.teams = "[[deployment.teams]]\nname = \"" + TEAM + "\"\ncpus = 88.0\ncpus_max = 232.0\n";
        plan.types = List.of(new MachineType(
                "cedar-node", Resources.of(16, 0, 64), 50, 0.6, 0.85, 0.22, 25 * Micros.SECOND, plan.zones));
        plan.machines = 48;
    }

    private static void noteOutput(World world) throws IOException {
        for (String line : Files.readAllLines(Path.of(world.settingsFile(0) + ".restore.out"))) {
            world.note("restore says: " + line);
        }
    }

    private static Process snapshotCommand(World world, String... words) throws Exception {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/micatide.jar", "snapshot"));
        command.addAll(List.of(words));
        command.addAll(List.of("--config", world.settingsFile(0).toString()));
        world.note(words[0] + " a snapshot");
        File output = Path.of(world.settingsFile(0) + "." + words[0] + ".out").toFile();
        return world.child(new ProcessBuilder(command)
                .directory(world.root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start());
    }
}
