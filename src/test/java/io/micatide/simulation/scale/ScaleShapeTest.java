package io.micatide.simulation.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.ExitCause;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.net.Http;
import io.micatide.simulation.InvariantChecker;
import io.micatide.simulation.SimulatedCloud;
import io.micatide.simulation.SimulatedCluster;
import io.micatide.simulation.SimulatedWorker;
import io.micatide.simulation.VirtualNetwork;
import io.micatide.simulation.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The scale run's shape in virtual time: the same users, settings and checker, with counts in place of clocks. */
class ScaleShapeTest {
    private static final int CONTROLLERS = 3;
    private static final int SETTLE_SECONDS = 30;
    private static final int SECONDS = 30;

    /** A deployment of the scale run's settings under the names that virtual time knows. */
    private static final class Shape implements SimulatedCluster.ClusterConfiguration, SimulatedWorker.Witness {
        private final ScalePlan plan;
        private final SimulatedCluster deployment;
        private final InvariantChecker checker;
        private final ScaleUsers users;
        private int heartbeats;
        private int leasesEnded;

        Shape(int workers, ScalePlan.Fault fault) {
            plan = new ScalePlan(workers, CONTROLLERS, workers * 0.1, 20, 10, 0, 5, SECONDS, 1, fault);
            deployment = new SimulatedCluster(
                    new Random(workers),
                    CONTROLLERS,
                    this,
                    List.of(ScaleSettings.machineType()),
                    workers,
                    ScaleSettings.STATE,
                    this);
            checker = new InvariantChecker(
                    deployment.time,
                    settings(0).cancellationLimitMicros(),
                    settings(0).teams());
            List<Http> controllers = new ArrayList<>();
            for (int i = 0; i < CONTROLLERS; i++) {
                controllers.add(deployment.toController(i));
            }
            users = new ScaleUsers(deployment.user, plan, controllers, checker, deployment::uploadDescription);
            deployment.network.observe(new VirtualNetwork.Observer() {
                @Override
                public void requestSent(VirtualTime.Process from, String endpoint, String path) {
                    heartbeats += path.equals("/v1/report") ? 1 : 0;
                }

                @Override
                public void responseSent(VirtualTime.Process from, String endpoint, String path) {
                    // Counted where it leaves.
                }
            });
        }

        @Override
        public Settings settings(int controller) {
            List<ScaleSettings.Ports> ports = new ArrayList<>();
            for (int i = 0; i < CONTROLLERS; i++) {
                ports.add(new ScaleSettings.Ports(1, 1, 1, 1));
            }
            Settings read = new ScaleSettings(plan, ports).parsed(controller);
            List<Settings.Peer> siblings = new ArrayList<>();
            for (int i = 0; i < CONTROLLERS; i++) {
                if (i != controller) {
                    siblings.add(new Settings.Peer("c" + i, "zone-00", "p" + i));
                }
            }
            return named(read, controller, siblings);
        }

        private static Settings named(Settings read, int controller, List<Settings.Peer> siblings) {
            return new Settings(
                    "c" + controller,
                    read.zone(),
                    "c" + controller,
                    "p" + controller,
                    siblings,
                    "cloud",
                    "state",
                    read.zones(),
                    read.wallClockErrorMicros(),
                    read.teams(),
                    read.objectives(),
                    read.heartbeatIntervalMicros(),
                    read.workerLeaseMicros(),
                    read.gangStartTimeoutMicros(),
                    read.gangPeerTimeoutMicros(),
                    read.cancellationLimitMicros(),
                    read.storeRequestsPerSecond(),
                    read.storeWritesPerSecond(),
                    read.maxValueBytes(),
                    read.maxWritableValueBytes(),
                    read.maxTransactionWrites(),
                    read.cloudRequestsPerSecond(),
                    read.listLagMicros(),
                    read.cores(),
                    read.memoryMb(),
                    read.maxConnections());
        }

        @Override
        public Tuning tuning(int controller) {
            Tuning defaults = Tuning.defaults(settings(controller));
            return new Tuning(
                    Tuning.defaultLeaseWithStandbyMicros(settings(controller)),
                    7_200 * Micros.SECOND,
                    true,
                    defaults.archiveBatchSize(),
                    true,
                    false,
                    true);
        }

        /** Plays it, with the fault at half of the measured time. */
        void play() {
            deployment.start();
            deployment.time.run(5 * Micros.SECOND);
            for (int i = 0; i < plan.workers(); i++) {
                deployment.addUnrentedMachine(
                        ScaleSettings.machineType(), ScaleSettings.zones().get(i % ScaleSettings.ZONES));
            }
            deployment.time.run(ScaleSettings.SETTLE_SECONDS * Micros.SECOND);
            users.begin();
            run(SETTLE_SECONDS);
            heartbeats = 0;
            run(SECONDS / 2);
            switch (plan.fault()) {
                case LEADER -> deployment.faults.crashForMicros(deployment.leader(), 300 * Micros.MILLISECOND);
                case ALL -> {
                    for (int i = 0; i < CONTROLLERS; i++) {
                        deployment.faults.crashForMicros(i, 300 * Micros.MILLISECOND);
                    }
                }
                case ZONE, NONE -> {}
            }
            run(SECONDS - SECONDS / 2);
        }

        private void run(int seconds) {
            for (int i = 0; i < seconds; i++) {
                deployment.time.run(Micros.SECOND);
                checker.check();
            }
        }

        double heartbeatsPerWorker() {
            return (double) heartbeats / plan.workers() / SECONDS;
        }

        @Override
        public void taskStarted(String task, long attempt, String machine) {
            checker.taskStarted(task, attempt, machine);
            users.started(task);
        }

        @Override
        public void taskEnded(String task, long attempt, String machine, ExitCause cause) {
            checker.taskEnded(task, attempt, machine, cause);
            if (cause == ExitCause.DONE) {
                users.done(task);
            }
        }

        @Override
        public void startAccepted(JobSpec spec, String task, long attempt, SimulatedCloud.RentedMachine machine) {
            checker.startAccepted(spec, task, attempt, machine);
        }

        @Override
        public void resourcesReleased(String task, long attempt, SimulatedCloud.RentedMachine machine) {
            checker.resourcesReleased(task, attempt, machine);
        }

        @Override
        public void leaseExpired(SimulatedCloud.RentedMachine machine) {
            leasesEnded++;
        }
    }

    @Test
    void aWorkerCostsTheSameAtEverySize() {
        Shape small = new Shape(75, ScalePlan.Fault.NONE);
        Shape large = new Shape(300, ScalePlan.Fault.NONE);
        small.play();
        large.play();
        assertEquals(List.of(), large.checker.violations());
        assertEquals(0, large.leasesEnded);
        assertTrue(large.checker.starts() > 3 * small.checker.starts(), "starts " + large.checker.starts());
        assertTrue(
                large.heartbeatsPerWorker() < 1.2 * small.heartbeatsPerWorker(),
                small.heartbeatsPerWorker() + " and " + large.heartbeatsPerWorker() + " a second");
    }

    @ParameterizedTest
    @EnumSource(
            value = ScalePlan.Fault.class,
            names = {"LEADER", "ALL"})
    void noLeaseRunsOutWhileControllersAreReplaced(ScalePlan.Fault fault) {
        Shape shape = new Shape(200, fault);
        shape.play();
        assertEquals(List.of(), shape.checker.violations());
        assertEquals(0, shape.leasesEnded);
        assertTrue(shape.checker.starts() > 200 * 0.1 * SECONDS / 2, "starts " + shape.checker.starts());
    }
}
