package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.controller.Controller;
import io.micatide.model.ExitCause;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import io.micatide.model.Tuning;
import io.micatide.net.Http;
import io.micatide.protocol.CloudSideCodec;
import io.micatide.protocol.MalformedException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A zone is cut off together with the leader: inside it goes on answering its workers, outside users cancel jobs. On the fleet's
 * day of a cut zone tasks of cancelled jobs ran on for the whole cut (ran_cancelled).
 */
class ZonePartitionTest {
    private static final int CONTROLLERS = 3;
    private static final long LEASE = 10 * Micros.SECOND;
    private static final long CANCEL = 25 * Micros.SECOND;

    private final VirtualTime time = new VirtualTime();
    private final VirtualNetwork network = new VirtualNetwork(time, new Random(1));
    private final VirtualTime.Process world = time.new Process();
    private final SimulatedStore state = new SimulatedStore(world, new SimulatedStore.Limits(400, 120, 16 * 1024, 16));
    private final SimulatedCloud cloud = new SimulatedCloud(
            world,
            List.of(new MachineType(
                    "small", Resources.of(4, 0, 64), 25, 0, 0.5, 0.2, Micros.SECOND, List.of("a", "b"))),
            8,
            this::up,
            name -> {});
    private final List<VirtualTime.Process> controllers = new ArrayList<>();
    private final Map<VirtualTime.Process, String> zones = new HashMap<>();
    private final Map<String, String> running = new TreeMap<>();
    private final Map<String, byte[]> submitted = new HashMap<>();
    private final GangRendezvous gangs = new GangRendezvous(world, settings(0));

    private Settings settings(int number) {
        List<Settings.Peer> siblings = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            if (i != number) {
                siblings.add(new Settings.Peer("c" + i, "a", "p" + i));
            }
        }
        return new Settings(
                "c" + number,
                number == 0 ? "a" : "b",
                "c" + number,
                "p" + number,
                siblings,
                "cloud",
                "state",
                List.of("a", "b"),
                0,
                Map.of("blue", new Team("blue", 0, 0, 0, 0)),
                List.of(),
                800 * Micros.MILLISECOND,
                LEASE,
                30 * Micros.SECOND,
                5 * Micros.SECOND,
                CANCEL,
                400,
                120,
                16 * 1024,
                16 * 1024,
                16,
                20,
                Micros.SECOND,
                0.4,
                150,
                700);
    }

    private void start() {
        network.listen("state", world, state::handle);
        network.listen("cloud", world, cloud::handle);
        for (int i = 0; i < CONTROLLERS; i++) {
            VirtualTime.Process process = time.new Process();
            controllers.add(process);
            zones.put(process, i == 0 ? "a" : "b");
            Controller controller = new Controller(
                    settings(i),
                    Tuning.defaults(settings(i)),
                    process,
                    (endpoint, most) -> network.from(process, endpoint));
            network.listen("c" + i, process, controller::handleRequest);
            network.listen("p" + i, process, controller::handlePeerRequest);
            process.executeLater(controller::start, i * Micros.SECOND);
        }
        time.run(5 * Micros.SECOND);
    }

    private void up(SimulatedCloud.RentedMachine machine) {
        VirtualTime.Process process = time.new Process();
        zones.put(process, machine.zone());
        Map<String, Http> known = new LinkedHashMap<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            known.put("c" + i, network.from(process, "c" + i));
        }
        new SimulatedWorker(
                        process, settings(0), machine, known, this::described, gangs, new SimulatedWorker.Witness() {
                            @Override
                            public void taskStarted(String task, long attempt, String name) {
                                running.put(task, machine.zone());
                            }

                            @Override
                            public void taskEnded(String task, long attempt, String name, ExitCause cause) {
                                running.remove(task);
                            }
                        })
                .start();
    }

    private JobSpec described(String id) {
        try {
            return CloudSideCodec.jobSpec(("{\"spec\":" + new String(submitted.get(id), StandardCharsets.UTF_8) + "}")
                    .getBytes(StandardCharsets.UTF_8));
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean ask(String endpoint, String path, byte[] body) {
        int[] status = new int[1];
        for (int tries = 0; tries < 20 && status[0] != 200 && status[0] != 201; tries++) {
            network.from(world, endpoint).post(path, body, 2 * Micros.SECOND, reply -> status[0] = reply.status());
            time.run(500 * Micros.MILLISECOND);
        }
        return status[0] == 200 || status[0] == 201;
    }

    private static boolean crosses(Map<VirtualTime.Process, String> zones, VirtualTime.Process from, String endpoint) {
        boolean fromInside = "a".equals(zones.get(from));
        boolean toInside = endpoint.equals("c0") || endpoint.equals("p0");
        return fromInside != toInside;
    }

    /** Seconds of the cut until the cancellation, and of the cut in all. */
    @ParameterizedTest
    @CsvSource({"1, 40", "4, 60", "8, 40", "15, 60"})
    void nothingOfACancelledJobOutlivesItsTime(int cancelAfter, int cutFor) {
        start();
        for (String id : List.of("wk-1", "wk-2")) {
            submitted.put(
                    id,
                    ("{\"nameId\":\"" + id
                                    + "\",\"roster\":\"x\",\"crew\":\"blue\",\"form\":\"daemon\",\"rank\":\"high\",\"legs\":8,"
                                    + "\"cpus\":2.0,\"cards\":0.0,\"memGb\":1.0,\"kit\":\"i\",\"sizeGb\":0.0,\"samePlace\":false,\"scatter\":true,"
                                    + "\"loaners\":true,\"runtimeS\":0.0,\"halftimeS\":0.0,\"stowS\":0.0}")
                            .getBytes(StandardCharsets.UTF_8));
            assertTrue(ask("c1", "/v1/jobs", submitted.get(id)));
        }
        time.run(20 * Micros.SECOND);
        assertTrue(running.containsValue("a") && running.containsValue("b"), running.toString());
        long began = time.now();
        network.setPartition((from, endpoint) -> crosses(zones, from, endpoint));
        time.run(cancelAfter * Micros.SECOND);
        assertTrue(ask("c1", "/v1/jobs/wk-1/abort", new byte[0]), "users outside are served");
        time.run(CANCEL);
        assertTrue(running.keySet().stream().noneMatch(task -> task.startsWith("wk-1/")), "after its time: " + running);
        time.run(Math.max(0, began + cutFor * Micros.SECOND - time.now()));
        network.setPartition((from, endpoint) -> false);
        time.run(40 * Micros.SECOND);
        assertEquals(
                8,
                running.keySet().stream()
                        .filter(task -> task.startsWith("wk-2/"))
                        .count(),
                running.toString());
    }

    /** In an outage for all nobody can cancel, siblings say so, and tasks live for as long as it takes. */
    @ParameterizedTest
    @CsvSource({"12", "45"})
    void anOutageForAllKillsNothing(int seconds) {
        start();
        submitted.put(
                "wk-1",
                ("{\"nameId\":\"wk-1\",\"roster\":\"x\",\"crew\":\"blue\",\"form\":\"daemon\",\"rank\":\"high\",\"legs\":6,"
                                + "\"cpus\":2.0,\"cards\":0.0,\"memGb\":1.0,\"kit\":\"i\",\"sizeGb\":0.0,\"samePlace\":false,\"scatter\":false,"
                                + "\"loaners\":true,\"runtimeS\":0.0,\"halftimeS\":0.0,\"stowS\":0.0}")
                        .getBytes(StandardCharsets.UTF_8));
        assertTrue(ask("c1", "/v1/jobs", submitted.get("wk-1")));
        time.run(15 * Micros.SECOND);
        Map<String, String> before = new TreeMap<>(running);
        assertEquals(6, before.size());
        state.setOutage(true);
        time.run(seconds * Micros.SECOND);
        assertEquals(before, running);
        state.setOutage(false);
        time.run(20 * Micros.SECOND);
        assertEquals(before, running);
    }
}
