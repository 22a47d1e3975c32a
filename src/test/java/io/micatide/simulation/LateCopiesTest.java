package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.WorkerSideCodec;
import io.micatide.standby.KeyspaceReplica;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Copies of messages that were carried out and answered arrive once more, while controllers and machines come back after 0.1 to
 * 0.9 s and tasks are moved, cancelled, ended and reaped. Guards against tasks that run on two machines, or again after their
 * cancellation, because such a copy is taken for news.
 */
class LateCopiesTest {
    /** Long runs outside CI: {@code -Dmicatide.days=5000 -Dmicatide.first=40000}. */
    private static final int DAYS = Integer.getInteger("micatide.days", 60);

    private static final int FIRST = Integer.getInteger("micatide.first", 0);
    private static final int FAULT_SECONDS = 48;
    private static final int SECONDS_BETWEEN_FAULTS = 3;
    private static final int LEASES_SECONDS = 12;
    private static final String COMMANDS = "/commands";

    private final Map<String, Integer> copiesByPath = new TreeMap<>();
    private int starts;

    /** Copies a share of all requests, whoever sends them; a copy reaches whoever listens at its endpoint by then. */
    private final class RequestCopier implements VirtualNetwork.MessageFaults {
        private final Random random;
        private final double share;

        RequestCopier(Random random) {
            this.random = random;
            this.share = 0.1 + 0.8 * random.nextDouble();
        }

        @Override
        public VirtualNetwork.MessageFault faultOf(VirtualTime.Process from, String endpoint, String path) {
            if (random.nextDouble() >= share) {
                return null;
            }
            copiesByPath.merge(path.replaceAll("[?].*|/wk-.*|/[0-9]+.*", ""), 1, Integer::sum);
            return VirtualNetwork.MessageFault.duplicated(delayMicros());
        }

        /** Most copies arrive within a second, in which controllers and machines come back; some after a lease. */
        private long delayMicros() {
            return switch (random.nextInt(10)) {
                case 0 -> (15_000 + random.nextInt(45_000)) * Micros.MILLISECOND;
                case 1, 2, 3 -> (1_000 + random.nextInt(14_000)) * Micros.MILLISECOND;
                default -> (5 + random.nextInt(995)) * Micros.MILLISECOND;
            };
        }
    }

    private static long briefMicros(Random random) {
        return (100 + random.nextInt(800)) * Micros.MILLISECOND;
    }

    /** A controller or machine is back within a second, or tasks are moved or cancelled. */
    private static void injectFault(FailoverScenario day) {
        Random random = day.random;
        FaultInjector faults = day.cluster.faults;
        switch (random.nextInt(8)) {
            case 0, 1 -> faults.crashForMicros(day.cluster.leader(), briefMicros(random));
            case 2 -> faults.shutDownForMicros(day.cluster.leader(), briefMicros(random));
            case 3 -> {
                for (int number = 0; number < day.controllers; number++) {
                    faults.crashForMicros(number, briefMicros(random));
                }
            }
            case 4 -> faults.hangWorkers(0.5, (int) (briefMicros(random) / Micros.MILLISECOND));
            case 5 -> faults.partitionWorkers(0.2, LEASES_SECONDS);
            case 6 -> day.cluster.reclaimMachines(machine -> random.nextInt(6) == 0);
            default -> day.users.cancelRunningJobs(1 + random.nextInt(4), random.nextBoolean() ? 0 : 900);
        }
    }

    private FailoverScenario play(long seed) {
        int controllers = seed % 2 == 0 ? 3 : 5;
        FailoverScenario day = seed % 3 == 0
                ? FailoverScenario.atQuota(seed, controllers, 0)
                : new FailoverScenario(seed, controllers, 0, KeyspaceReplica::new);
        RequestCopier copier = new RequestCopier(new Random(seed));
        day.cluster.network.addFaults(copier);
        for (int second = 0; second < FAULT_SECONDS; second++) {
            day.users.actDuringFaults();
            if (second > 5 && second % SECONDS_BETWEEN_FAULTS == 0) {
                injectFault(day);
                day.at(briefMicros(day.random), () -> injectFault(day));
            }
            day.time.run(Micros.SECOND);
        }
        day.cluster.network.removeFaults(copier);
        day.time.run(35 * Micros.SECOND);
        day.users.pollAllAfterFaults();
        day.users.cancelServicesAndWait(900);
        starts += day.checker.starts();
        return day;
    }

    @Test
    void copiesOfAnyRequestBreakNoRule() {
        List<String> failed = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + DAYS; seed++) {
            FailoverScenario day = play(seed);
            if (!day.violations().isEmpty()) {
                failed.add("seed " + seed + " " + day.violations() + " " + day.cluster.eventLog());
            }
        }
        assertEquals(List.of(), failed);
        assertTrue(starts > 20 * DAYS, starts + " starts");
        Set<String> kinds = Set.of(
                "/v1/report",
                COMMANDS,
                "/txn",
                "/store",
                "/grants",
                "/machines",
                "/v1/jobs",
                "/hints",
                "/withdrawn",
                "/news");
        assertTrue(copiesByPath.keySet().containsAll(kinds), copiesByPath.toString());
    }

    /**
     * A start that a machine carries out again, because it has reaped the attempt, can only come from a message that is carried
     * out late. The messages to machines that can be carry no commands: starts go in answers to reports alone, which a worker
     * that no longer waits for them drops.
     */
    @Test
    void directMessagesToMachinesCarryNoCommands() {
        FailoverScenario day = new FailoverScenario(1, 3, 0, KeyspaceReplica::new);
        List<String> withCommands = new ArrayList<>();
        int[] messages = new int[1];
        day.cluster.network.record(new VirtualNetwork.Recorder() {
            @Override
            public void request(long atMicros, String method, String endpoint, String path, byte[] body) {
                if (path.equals(COMMANDS)) {
                    messages[0]++;
                    if (hasCommands(body)) {
                        withCommands.add(new String(body, StandardCharsets.UTF_8));
                    }
                }
            }

            @Override
            public void response(long atMicros, String endpoint, String path, int status, byte[] body) {
                // Only requests can be carried out late.
            }
        });
        for (int second = 0; second < FAULT_SECONDS; second++) {
            day.users.actDuringFaults();
            if (second > 5 && second % SECONDS_BETWEEN_FAULTS == 0) {
                injectFault(day);
            }
            day.time.run(Micros.SECOND);
        }
        assertTrue(messages[0] > 0, "no direct message");
        assertEquals(List.of(), withCommands);
    }

    private static boolean hasCommands(byte[] body) {
        try {
            return !WorkerSideCodec.answer(body).commands().isEmpty();
        } catch (MalformedException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }
}
