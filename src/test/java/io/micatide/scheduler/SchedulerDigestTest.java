package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import io.micatide.simulation.RecordedDigests;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What leaders send to workers, state service and cloud on drawn fleets with spot notices, faulty jobs and machines, preemption and
 * failovers is what is recorded, to the byte. See {@link RecordedDigests}.
 */
class SchedulerDigestTest {
    private static final int SECONDS = 90;
    private static final long NOTICE_MICROS = 20 * Micros.SECOND;

    private static String runScenario(long seed) {
        Random random = new Random(seed);
        SchedulerHarness world = new SchedulerHarness(seed, 4 + random.nextInt(12));
        RecordedDigests.Digester digester = new RecordedDigests.Digester();
        world.messageListener = message -> digester.add(message.getBytes(StandardCharsets.UTF_8));
        world.lostAnswerProbability = 0.01;
        world.killAtInteraction = 300 + random.nextInt(600);
        world.startLeader();
        for (int second = 0; second < SECONDS; second++) {
            for (int more = random.nextInt(3); more > 0 && second < SECONDS / 2; more--) {
                world.submit(PlacementReferenceTest.randomJob(random, world.specs.size()));
            }
            if (random.nextInt(10) == 0 && !world.specs.isEmpty()) {
                world.cancel("wk-" + random.nextInt(world.specs.size()));
            }
            if (random.nextInt(6) == 0 && !world.workers.isEmpty()) {
                List<String> names = List.copyOf(world.workers.keySet());
                world.spotNoticeEndsMicros.put(names.get(random.nextInt(names.size())), world.now + NOTICE_MICROS);
            }
            if (random.nextInt(15) == 0) {
                world.faultyMachines.add("i-00000" + random.nextInt(9));
            }
            if (random.nextInt(20) == 0) {
                world.faultyJobs.add("wk-" + random.nextInt(40));
            }
            world.run(Micros.SECOND);
        }
        assertTrue(!world.spotNoticeEndsMicros.isEmpty(), "no machine got a notice");
        return digester.summary();
    }

    static List<String> recorded() {
        return RecordedDigests.lines("SCHEDULER");
    }

    @ParameterizedTest
    @MethodSource("recorded")
    void sendsTheRecordedMessages(String line) {
        RecordedDigests.check(line, SchedulerDigestTest::runScenario);
    }

    /** Prints the digests of the seeds from the first argument up to, without, the second. */
    public static void main(String[] arguments) {
        RecordedDigests.print("SCHEDULER", arguments, SchedulerDigestTest::runScenario);
    }
}
