package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;

/** A task fails once, on the only machine in its job's zone. The job has to be tried again, there or on a rented machine. */
public final class FailedOnce {
    private static final String SERVICE = "wk-000001";
    private static final String JOB = "wk-000002";
    /** "no job is left waiting for 90 s while a machine that fits has room". */
    private static final double MAX_WAIT_SECONDS = 90;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, Sites.CORRMHOR_LIVE, Sites.corrmhorLiveState())) {
            exit = play(deployment, trouble);
            deployment.record("exit " + exit);
        }
        System.exit(exit);
    }

    private static int play(Deployment deployment, boolean trouble) throws Exception {
        deployment.cloud = new Cloud(deployment, List.of(Sites.HURLER_SMALL, Sites.CROKER_LARGE));
        for (String zone : deployment.zones()) {
            deployment.cloud.addMachine(Sites.CROKER_LARGE, zone, false, 0);
        }
        Machine machine = deployment.cloud.machines().get(0);
        for (int i = 0; i < deployment.controllers(); i++) {
            deployment.startController(i);
        }
        deployment.awaitHealthy(20);

        ObjectNode service = Deployment.spec(SERVICE, "daemon", 1, 2.0, 0);
        service.put("ground", machine.zone);
        service.put("rank", "high");
        if (deployment.submit(service, 0, 10) >= 300 || !deployment.awaitStanding(SERVICE, "running", 15).equals("running")) {
            return 2;
        }
        if (trouble) {
            deployment.failNext(JOB + "/0", 1);
        }
        ObjectNode job = Deployment.spec(JOB, "batch", 1, 2.0, 5);
        job.put("ground", machine.zone);
        if (deployment.submit(job, 1, 10) >= 300) {
            return 2;
        }
        return watch(deployment, machine);
    }

    /** Measures how long the job waits after its failed attempt while the machine is up and has room. */
    private static int watch(Deployment deployment, Machine machine) throws InterruptedException {
        double waitsSince = deployment.seconds();
        while (true) {
            Thread.sleep(250);
            double now = deployment.seconds();
            if (deployment.completed(JOB) == 1) {
                deployment.record("the job's task completed, after " + deployment.starts(JOB) + " starts");
                return deployment.awaitStanding(JOB, "done", 10).equals("done") ? 0 : 1;
            }
            boolean hasRoom = machine.isUp() && machine.freeCpus() >= 2.0;
            if (deployment.running(JOB) > 0 || deployment.hasFailuresLeft(JOB + "/0") || !hasRoom) {
                waitsSince = now;
            }
            if (now - waitsSince > MAX_WAIT_SECONDS) {
                deployment.violation(JOB + " waits for " + Math.round(now - waitsSince) + " s with "
                        + machine.freeCpus() + " CPUs free on " + machine.name + ", which is up and runs " + machine.legsOn()
                        + "; all controllers up: " + deployment.ownExits.isEmpty()
                        + "; polls: " + deployment.poll(0, JOB) + ", " + deployment.poll(1, JOB) + ", " + deployment.poll(2, JOB));
                return 1;
            }
        }
    }
}
