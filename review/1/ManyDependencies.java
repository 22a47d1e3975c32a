package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Two waves of one-task jobs; each job of the second wave needs all of the first. No controller may end by itself. */
public final class ManyDependencies {
    private static final int JOBS = 800;
    private static final int DEPENDENT_JOBS = 900;
    private static final double PER_SECOND = 25;
    private static final int SUBMITTERS = 5;
    private static final int LAST_SECOND = 112;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, Sites.CASCADIA_REHAB, Sites.cascadiaRehabState())) {
            exit = play(deployment, trouble);
            deployment.record("exit " + exit);
        }
        System.exit(exit);
    }

    private static int play(Deployment deployment, boolean trouble) throws Exception {
        deployment.cloud = new Cloud(deployment, List.of(Sites.CEDAR_NODE));
        for (int i = 0; i < 4; i++) {
            deployment.cloud.addMachine(Sites.CEDAR_NODE, deployment.zones()[i % 2], false, 0);
        }
        for (int i = 0; i < deployment.controllers(); i++) {
            deployment.startController(i);
        }
        deployment.awaitHealthy(20);
        Thread.sleep(1500);
        int accepted = submitAll(deployment, 1, JOBS, false);
        deployment.record("accepted " + accepted + " jobs; " + tasksOnMachines(deployment) + " tasks on machines");
        int dependent = submitAll(deployment, 1 + JOBS, DEPENDENT_JOBS, trouble);
        deployment.record("accepted " + dependent + " jobs of the second wave");
        if (accepted < JOBS) {
            return 2;
        }
        return watch(deployment);
    }

    private static int tasksOnMachines(Deployment deployment) {
        return deployment.cloud.machines().stream().mapToInt(machine -> machine.legsOn().size()).sum();
    }

    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    /** Submits jobs at the rate until all are accepted or a controller has ended by itself; returns how many were accepted. */
    private static int submitAll(Deployment deployment, int first, int count, boolean dependent) throws InterruptedException {
        AtomicInteger next = new AtomicInteger();
        AtomicInteger accepted = new AtomicInteger();
        double start = deployment.seconds();
        Thread[] submitters = new Thread[SUBMITTERS];
        for (int i = 0; i < SUBMITTERS; i++) {
            int submitter = i;
            submitters[i] = HttpEndpoint.daemon(() -> {
                for (int n = next.getAndIncrement(); n < count && deployment.ownExits.isEmpty(); n = next.getAndIncrement()) {
                    double wait = start + n / PER_SECOND - deployment.seconds();
                    Thread.sleep((long) Math.max(0, wait * 1000));
                    ObjectNode spec = Deployment.spec(id(first + n), "batch", 1, 0.25, 150);
                    spec.put("crew", "gait-lab");
                    if (dependent) {
                        ArrayNode awaits = spec.putArray("awaits");
                        for (int needed = 1; needed <= JOBS; needed++) {
                            awaits.add(id(needed));
                        }
                    }
                    int status = deployment.submit(spec, submitter % deployment.controllers(), 10);
                    if (status == 200 || status == 201) {
                        accepted.incrementAndGet();
                    }
                }
            });
        }
        for (Thread submitter : submitters) {
            submitter.join();
        }
        return accepted.get();
    }

    /** Starts each controller again 3 s after its end, as the platform does, and counts the ends. */
    private static int watch(Deployment deployment) throws Exception {
        double quietSince = deployment.seconds();
        double[] endedAt = new double[deployment.controllers()];
        while (deployment.seconds() < LAST_SECOND) {
            for (int i = 0; i < deployment.controllers(); i++) {
                if (!deployment.isAlive(i)) {
                    quietSince = deployment.seconds();
                    if (endedAt[i] == 0) {
                        endedAt[i] = deployment.seconds();
                    } else if (deployment.seconds() - endedAt[i] > 3) {
                        endedAt[i] = 0;
                        deployment.startController(i);
                    }
                }
            }
            if (deployment.seconds() - quietSince > 15) {
                break;
            }
            Thread.sleep(100);
        }
        deployment.record("ends of controllers by themselves: " + deployment.ownExits + "; leader record: "
                + deployment.state.read("leader") + "; " + tasksOnMachines(deployment) + " tasks on machines; "
                + deployment.completedTasks() + " tasks completed");
        if (!deployment.ownExits.isEmpty()) {
            deployment.violation("controllers ended by themselves " + deployment.ownExits.size() + " times");
            return 1;
        }
        return 0;
    }
}
