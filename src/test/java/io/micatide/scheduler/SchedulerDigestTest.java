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
 * Leaders send exactly the recorded bytes to workers, store and cloud on random fleets with spot notices, faulty jobs and
 * machines, preemption and failovers. Guards against unintended changes of behavior. See {@link RecordedDigests}.
 */
class SchedulerDigestTest {
    private static final int SECONDS = 90;
    private static final long NOTICE_MICROS = 20 * Micros.SECOND;

    private static String runScenario(long seed) {
        Random random = new Random(seed);
        SchedulerHarness harness = new SchedulerHarness(seed, 4 + random.nextInt(12));
        RecordedDigests.Digester digester = new RecordedDigests.Digester();
        harness.messageListener = message -> digester.add(message.getBytes(StandardCharsets.UTF_8));
        harness.lostAnswerProbability = 0.01;
        harness.killAtInteraction = 300 + random.nextInt(600);
        harness.startLeader();
        for (int second = 0; second < SECONDS; second++) {
            for (int jobs = random.nextInt(3); jobs > 0 && second < SECONDS / 2; jobs--) {
                harness.submit(PlacementReferenceTest.randomJob(random, harness.specs.size()));
            }
            if (random.nextInt(10) == 0 && !harness.specs.isEmpty()) {
                harness.cancel("wk-" + random.nextInt(harness.specs.size()));
            }
            if (random.nextInt(6) == 0 && !harness.workers.isEmpty()) {
                List<String> names = List.copyOf(harness.workers.keySet());
                harness.spotNoticeEndsMicros.put(names.get(random.nextInt(names.size())), harness.now + NOTICE_MICROS);
            }
            if (random.nextInt(15) == 0) {
                harness.faultyMachines.add("i-00000" + random.nextInt(9));
            }
            if (random.nextInt(20) == 0) {
                harness.faultyJobs.add("wk-" + random.nextInt(40));
            }
            harness.run(Micros.SECOND);
        }
        assertTrue(!harness.spotNoticeEndsMicros.isEmpty(), "no machine received a spot notice");
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

    /** Prints the digests of the seeds from the first argument (inclusive) to the second (exclusive). */
    public static void main(String[] arguments) {
        RecordedDigests.print("SCHEDULER", arguments, SchedulerDigestTest::runScenario);
    }
}
