package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The meetings of two troubles that the operators name, each brought about by itself with all teams at their limits: no rule is broken, nothing
 * is lost, and everything is done once it is over. Whether the meeting took place is asserted as well.
 */
class FaultInteractionTest {
    /** Long runs outside CI: {@code -Dmicatide.days=200 -Dmicatide.first=1000}. */
    private static final int DAYS = Math.max(1, Integer.getInteger("micatide.days", 200) / 200);

    private static final int FIRST = Integer.getInteger("micatide.first", 0);

    private FailoverScenario day;
    private int leaders;
    private long fencingToken;

    private void seconds(double seconds) {
        for (long end = day.time.now() + (long) (seconds * Micros.SECOND); day.time.now() < end; ) {
            day.time.run(Math.min(100 * Micros.MILLISECOND, end - day.time.now()));
            leaders += day.cluster.fencingToken() > fencingToken ? 1 : 0;
            fencingToken = Math.max(fencingToken, day.cluster.fencingToken());
        }
    }

    private void traffic(int seconds) {
        for (int second = 0; second < seconds; second++) {
            day.users.actDuringFaults();
            seconds(1);
        }
    }

    private int leader() {
        return day.cluster.leader();
    }

    /** Three times: jobs are cancelled whose machines say nothing, the leader changes within seconds, and more are cancelled under the next one. */
    private List<String> cancelledOnSilentMachines(String mark, IntConsumer cancelled) {
        for (int time = 0; time < 3; time++) {
            cancelled.accept(time);
            seconds(0.3 + time);
            day.forceFailover();
            seconds(2);
            day.users.cancelRunningJobs(3, 0);
            traffic(14);
            day.users.fillQuotas();
        }
        return List.of(mark);
    }

    /** @return what the log has to say of each of these if the meeting took place */
    private List<String> bringAbout(String meeting) {
        SimulatedCluster all = day.cluster;
        switch (meeting) {
            case "cancelled while the work changes hands" -> {
                for (int time = 0; time < 3; time++) {
                    for (int each = 0; each < 25; each++) {
                        day.at(each * 150 * Micros.MILLISECOND, () -> day.users.cancelRunningJobs(1, 0));
                    }
                    seconds(1);
                    all.faults.shutDownForMicros(leader(), day.drawRestartDelay());
                    traffic(7);
                    day.users.fillQuotas();
                }
                return List.of("shutdown");
            }
            case "at their limits, cancelled machines hang, the leader changes" -> {
                return cancelledOnSilentMachines("hang", time -> day.users.cancelRunningJobs(6, 9_000 + 3_000 * time));
            }
            case "at their limits, cancelled machines are cut off, the leader changes" -> {
                return cancelledOnSilentMachines("partition workers", time -> {
                    all.faults.partitionWorkers(0.5, 8 + 4 * time);
                    day.users.cancelRunningJobs(6, 0);
                });
            }
            case "at their limits, cancelled machines are deaf, the leader changes" -> {
                return cancelledOnSilentMachines("dropped messages to", time -> {
                    all.faults.dropMessagesToWorkers(0.5, 8 + 4 * time);
                    day.users.cancelRunningJobs(6, 0);
                });
            }
            case "new machines in two seconds, writes lag, the leader ends" -> {
                all.reclaimMachines(machine -> true);
                all.setCloudDelays(
                        () -> day.random.nextInt(8_000) * Micros.MILLISECOND,
                        () -> (200 + day.random.nextInt(1_800)) * Micros.MILLISECOND);
                for (int time = 0; time < 4; time++) {
                    all.faults.delayTransactions(0.4, 2, 12, 5);
                    all.faults.slowStore(700 * Micros.MILLISECOND, 6);
                    day.users.fillQuotas();
                    seconds(1 + 0.4 * time);
                    all.faults.crashForMicros(leader(), day.drawRestartDelay());
                    traffic(9);
                    all.reclaimMachines(machine -> day.random.nextInt(3) == 0);
                }
                return List.of("delayed transactions", "crash");
            }
            case "all away for longer than the lease" -> {
                day.users.cancelRunningJobs(4, 0);
                for (int each = 0; each < day.controllers; each++) {
                    all.faults.crashForSeconds(each, 13);
                }
                seconds(14);
                traffic(10);
                return List.of("crash");
            }
            case "the end of a last task meets a cancellation, a question and a submission" -> {
                day.users.cancelAsTasksEnd(0.7, 30);
                day.users.pollClosely(30);
                for (int second = 0; second < 30; second++) {
                    day.users.submit("batch", 1 + day.random.nextInt(2), 1);
                    day.users.sendUnusualRequests();
                    seconds(1);
                }
                assertTrue(day.users.closePolls() > 20, day.users.closePolls() + " close looks");
                return List.of();
            }
            case "reports are held back until the next leader has acted" -> {
                for (int time = 0; time < 3; time++) {
                    all.faults.replayHeartbeatsToNextLeader(0.9, 40, 2_500 * (time + 1));
                    traffic(4);
                    day.forceFailover();
                    traffic(16);
                }
                return List.of("arrive");
            }
            case "old reports reach all as the next leader begins" -> {
                for (int time = 0; time < 4; time++) {
                    all.faults.replayHeartbeatsToNextLeader(1, 40, 0);
                    traffic(2);
                    day.users.cancelRunningJobs(3, 0);
                    all.reclaimMachines(machine -> day.random.nextInt(4) == 0);
                    traffic(2);
                    day.forceFailover();
                    traffic(12);
                }
                return List.of("arrive", "reclaimed");
            }
            case "ten leaders in two minutes, also inside an outage" -> {
                for (int time = 0; time < 12; time++) {
                    if (time == 5) {
                        all.faults.storeOutage(9);
                    }
                    if (day.random.nextBoolean()) {
                        all.faults.crashForMicros(leader(), day.drawRestartDelay());
                    } else {
                        all.faults.shutDownForMicros(leader(), day.drawRestartDelay());
                    }
                    day.users.cancelRunningJobs(1, 0);
                    traffic(8);
                }
                assertTrue(leaders >= 9, leaders + " leaders");
                return List.of("store outage");
            }
            case "only answers are lost, while others read what was written", "also of leases and of the cloud" -> {
                if (meeting.startsWith("also")) {
                    all.faults.loseStoreAndCloudResponses(0.6, 30);
                } else {
                    all.faults.loseTransactionResponses(0.6, 30);
                }
                day.users.pollClosely(40);
                traffic(8);
                day.users.cancelRunningJobs(4, 0);
                day.forceFailover();
                traffic(12);
                day.users.cancelRunningJobs(4, 0);
                day.forceFailover();
                traffic(12);
                return List.of("lost responses");
            }
            case "close looks" -> {
                day.users.pollClosely(40);
                for (int time = 0; time < 3; time++) {
                    traffic(4);
                    day.users.cancelRunningJobs(4, 0);
                    day.forceFailover();
                    for (int each = 0; each < 20; each++) {
                        day.users.submit("batch", 1, 1);
                        day.users.cancelRunningJobs(1, 0);
                        seconds(0.4);
                    }
                }
                assertTrue(day.users.closePolls() > 20, day.users.closePolls() + " close looks");
                return List.of();
            }
            case "more work than room, slow links" -> {
                all.faults.slowLinks(900 * Micros.MILLISECOND, 25);
                day.users.fillQuotas();
                day.users.fillQuotas();
                traffic(10);
                day.forceFailover();
                traffic(15);
                return List.of("slow links");
            }
            case "mute machines" -> {
                for (int time = 0; time < 3; time++) {
                    all.faults.dropHeartbeats(0.4 + 0.3 * time, 6 + 8 * time);
                    day.users.cancelRunningJobs(4, 0);
                    seconds(time);
                    day.forceFailover();
                    traffic(14 + 6 * time);
                    day.users.fillQuotas();
                }
                return List.of("dropped heartbeats of");
            }
            default -> throw new IllegalArgumentException(meeting);
        }
    }

    /** @param former how many controllers are of the version in production: without a standby and without the switches */
    @ParameterizedTest
    @CsvSource({
        "cancelled while the work changes hands, 3, 0",
        "cancelled while the work changes hands, 5, 1",
        "'at their limits, cancelled machines hang, the leader changes', 3, 1",
        "'at their limits, cancelled machines hang, the leader changes', 5, 0",
        "'at their limits, cancelled machines are cut off, the leader changes', 3, 0",
        "'at their limits, cancelled machines are cut off, the leader changes', 5, 1",
        "'at their limits, cancelled machines are deaf, the leader changes', 3, 1",
        "'at their limits, cancelled machines are deaf, the leader changes', 5, 0",
        "'new machines in two seconds, writes lag, the leader ends', 3, 0",
        "'new machines in two seconds, writes lag, the leader ends', 5, 1",
        "all away for longer than the lease, 3, 0",
        "all away for longer than the lease, 5, 1",
        "'the end of a last task meets a cancellation, a question and a submission', 3, 0",
        "reports are held back until the next leader has acted, 3, 0",
        "reports are held back until the next leader has acted, 5, 1",
        "old reports reach all as the next leader begins, 3, 0",
        "old reports reach all as the next leader begins, 5, 1",
        "'ten leaders in two minutes, also inside an outage', 3, 0",
        "'ten leaders in two minutes, also inside an outage', 5, 1",
        "'only answers are lost, while others read what was written', 3, 0",
        "'only answers are lost, while others read what was written', 5, 1",
        "also of leases and of the cloud, 3, 0",
        "also of leases and of the cloud, 5, 1",
        "close looks, 3, 0",
        "close looks, 5, 1",
        "'more work than room, slow links', 3, 0",
        "mute machines, 3, 0",
        "mute machines, 5, 1",
    })
    void breaksNoRule(String meeting, int controllers, int former) {
        List<String> failed = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + DAYS; seed++) {
            leaders = 0;
            fencingToken = 0;
            day = FailoverScenario.atQuota(seed, controllers, former);
            seconds(3);
            day.users.fillQuotas();
            traffic(9);
            int cancelled = day.users.cancelledCount();
            List<String> marks = bringAbout(meeting);
            assertTrue(day.users.cancelledCount() > cancelled, "nothing was cancelled");
            seconds(35);
            day.users.pollAllAfterFaults();
            boolean drained = day.users.cancelServicesAndWait(2_500);
            List<String> verdict = day.violations();
            if (!drained || !verdict.isEmpty()) {
                failed.add("seed " + seed + " " + verdict + " " + day.cluster.eventLog());
            }
            String log = day.cluster.eventLog().toString();
            assertTrue(marks.stream().allMatch(log::contains), "it did not take place: " + log);
        }
        assertEquals(List.of(), failed);
    }
}
