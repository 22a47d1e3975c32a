package io.micatide.simulation;

import io.micatide.archive.ArchiveScenario;
import io.micatide.model.Micros;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** On simulated days every process sends what is recorded, to the byte and to the microsecond. See {@link RecordedDigests}. */
class BehaviorDigestTest {
    private enum Scenario {
        /** Drawn failures of controllers, most of them of the leader. */
        FAILOVER,
        /** Processes that are back within a second. */
        BRIEF_RESTARTS,
        /** Two drawn faults at once. */
        FAULT_PAIRS,
        /** The same with several teams at their quotas and jobs that are bound to zones and machine types. */
        FAULT_PAIRS_AT_QUOTA,
        /** Versions that replace one another. */
        ROLLOUT,
        /** Jobs that need others, and an archive of final states. */
        ARCHIVE,
        /** All controllers are away for longer than the workers' lease. */
        COLD_START,
        /** A state service that takes few writes a second, and many small jobs. */
        SMALL_JOBS;

        String play(long seed) {
            RecordedDigests.Digester digester = new RecordedDigests.Digester();
            switch (this) {
                case FAILOVER -> FailoverTest.play(recorded(FailoverTest.begin(seed), digester));
                case BRIEF_RESTARTS -> BriefRestartTest.play(recorded(BriefRestartTest.begin(seed), digester));
                case FAULT_PAIRS -> FaultPairTest.play(recorded(FaultPairTest.begin(seed), digester));
                case FAULT_PAIRS_AT_QUOTA ->
                    FaultPairTest.playAtQuota(recorded(FaultPairTest.beginAtQuota(seed), digester));
                case ROLLOUT -> {
                    RolloutScenario roll = RolloutTest.begin(seed);
                    recorded(roll.scenario, digester);
                    RolloutTest.play(roll);
                }
                case ARCHIVE -> ArchiveScenario.runRecorded(seed, digester);
                case COLD_START -> coldStart(recorded(FailoverScenario.atQuota(seed, 3, 0), digester));
                case SMALL_JOBS -> smallJobs(recorded(FailoverScenario.withStoreLimits(seed, 3, 80, 30), digester));
            }
            return digester.summary();
        }

        private static FailoverScenario recorded(FailoverScenario day, VirtualNetwork.Recorder recorder) {
            day.cluster.network.record(recorder);
            return day;
        }

        private static void coldStart(FailoverScenario day) {
            day.time.run(3 * Micros.SECOND);
            day.users.fillQuotas();
            day.time.run(12 * Micros.SECOND);
            for (int controller = 0; controller < day.controllers; controller++) {
                day.cluster.faults.crashForSeconds(controller, 13);
            }
            day.users.cancelRunningJobs(4, 0);
            day.time.run(90 * Micros.SECOND);
        }

        private static void smallJobs(FailoverScenario day) {
            day.time.run(3 * Micros.SECOND);
            for (int second = 0; second < 40; second++) {
                day.users.submit("batch", 1, 3);
                day.users.submit("group", 2, 2);
                day.users.submit("daemon", 1, 0);
                if (second % 5 == 4) {
                    day.users.cancelRunningJobs(3, 0);
                }
                day.time.run(Micros.SECOND);
            }
            day.time.run(40 * Micros.SECOND);
        }
    }

    static Stream<String> recorded() {
        return Arrays.stream(Scenario.values()).flatMap(each -> RecordedDigests.lines(each.name()).stream());
    }

    @ParameterizedTest
    @MethodSource("recorded")
    void sendsTheRecordedMessages(String line) {
        Scenario scenario = Scenario.valueOf(line.substring(0, line.indexOf(' ')));
        RecordedDigests.check(line, scenario::play);
    }

    /** Prints the digests of the seeds from the first argument up to, without, the second. */
    public static void main(String[] arguments) {
        for (Scenario scenario : Scenario.values()) {
            RecordedDigests.print(scenario.name(), arguments, scenario::play);
        }
    }
}
