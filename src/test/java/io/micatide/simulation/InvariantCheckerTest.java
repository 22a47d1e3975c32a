package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.ExitCause;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.model.Team;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each rule that the checker holds is seen to be broken by a planted fault, and kept by its nearest neighbour. */
class InvariantCheckerTest {
    /**
     * Steps on a job of two tasks: {@code s0a} task 0 starts on machine a, {@code d0a} it is done there, {@code x0a} stopped there;
     * {@code t+5} five seconds pass; {@code c} its user cancels, {@code k} all troubles are over, {@code q} the user asks,
     * {@code h200done} hears an answer to a question of this moment.
     */
    @ParameterizedTest
    @CsvSource({
        "s0a s0b, ran_twice",
        "s0a x0a s0b, ''",
        "s0a s1a, ''",
        "h201queued c h200withdrawn t+29 s0a x0a, ''",
        "h201queued c h200withdrawn t+31 s0a, ran_cancelled",
        "h201queued s0a c h200withdrawn t+31, ran_cancelled",
        "h201queued s0a c h200withdrawn t+29 x0a t+5, ''",
        "h201queued s0a c t+31, ''",
        "h201queued t+1 h404, forgotten",
        "h404, ''",
        "h201queued t+1 h422, forgotten",
        "h201queued t+1 h503, ''",
        "h201queued k q t+74, ''",
        "h201queued k q t+80, forgotten",
        "h201queued q t+80, ''",
        "h201queued q t+80 k t+70 h200queued t+20, ''",
        "h201queued q t+80 k t+80, forgotten",
        "h201queued k t+90 q t+70, ''",
        "h201queued s0a d0a t+1 h200done, not_done",
        "h201queued s0a d0a s1a d1a t+1 h200done, ''",
        "h201queued s0a d0a s1a d1a t+1 h200done t+1 h200running, went_back",
        "h201queued h200withdrawn, went_back",
        "h201queued c h200withdrawn t+1 h200queued, went_back",
    })
    void findsWhatIsPlanted(String steps, String rule) {
        VirtualTime time = new VirtualTime();
        InvariantChecker checker = new InvariantChecker(time, 30 * Micros.SECOND);
        time.run(Micros.SECOND);
        checker.jobSubmitted("wk-1", 2, false);
        for (String step : steps.split(" ")) {
            switch (step.charAt(0)) {
                case 's' -> checker.taskStarted("wk-1/" + step.charAt(1), 1, step.substring(2));
                case 'd' -> checker.taskEnded("wk-1/" + step.charAt(1), 1, step.substring(2), ExitCause.DONE);
                case 'x' -> checker.taskEnded("wk-1/" + step.charAt(1), 1, step.substring(2), ExitCause.STOPPED);
                case 'c' -> checker.cancels("wk-1");
                case 'k' -> checker.faultsEnded();
                case 'q' -> checker.asks("wk-1");
                case 'h' ->
                    checker.responseReceived(
                            "wk-1",
                            time.now(),
                            Integer.parseInt(step.substring(1, 4)),
                            step.length() > 4 ? step.substring(4) : null);
                default -> {
                    for (int second = 0; second < Integer.parseInt(step.substring(2)); second++) {
                        time.run(Micros.SECOND);
                        checker.check();
                    }
                }
            }
        }
        assertEquals(
                rule,
                checker.violations().isEmpty()
                        ? ""
                        : checker.violations().get(0).split(" ")[0],
                checker.violations().toString());
    }

    private static final MachineType SMALL =
            new MachineType("small", Resources.of(8, 0, 64), 25, 0.5, 0.5, 0.2, 0, List.of("x", "y"));
    private static final MachineType LARGE =
            new MachineType("large", Resources.of(16, 0, 64), 25, 0.5, 0.5, 0.2, 0, List.of("x", "y"));
    private static final Map<Character, SimulatedCloud.RentedMachine> MACHINES = Map.of(
            'a',
            new SimulatedCloud.RentedMachine("a", SMALL, "x", false, 0),
            'b',
            new SimulatedCloud.RentedMachine("b", SMALL, "x", false, 0),
            'y',
            new SimulatedCloud.RentedMachine("y", SMALL, "y", false, 0),
            'l',
            new SimulatedCloud.RentedMachine("l", LARGE, "x", false, 0),
            's',
            new SimulatedCloud.RentedMachine("s", SMALL, "x", true, 0));

    /**
     * Places and limits, on a job of four tasks of two processors whose team may use {@code limit}: {@code f0a} task 0 is taken by machine a and
     * fetches, {@code s0a} starts there, {@code x0a} is over, {@code g0a} is given up before it started.
     */
    @ParameterizedTest
    @CsvSource({
        // All that holds a part of a machine counts: fetching, and on a machine whatever becomes of it.
        "any, 4, f0a f1b f2a, quota",
        "any, 6, f0a f1b f2a, ''",
        "any, 4, f0a s0a f1b s1b f2a, quota",
        "any, 4, f0a s0a f1b x0a f2a, ''",
        "any, 4, f0a f1b g0a f2a, ''",
        "any, 4, f0a f1b g0a f2a f3b, quota",
        "any, 0, f0a f1b f2a f3b, ''",
        "small, 0, f0l s0l, wrong_place",
        "small, 0, f0a s0a, ''",
        "zone x, 0, f0y s0y, wrong_place",
        "zone x, 0, f0l s0l, ''",
        "ordinary, 0, f0s s0s, wrong_place",
        "any, 0, f0s s0s, ''",
        "ordinary, 0, f0a s0a, ''",
        // What is on its machine counts for the place of others, not what fetches or is over.
        "oneZone, 0, f0a s0a f1y s1y, wrong_place",
        "oneZone, 0, f0a s0a x0a f1y s1y, ''",
        "oneZone, 0, f0a f1y s1y, ''",
        "oneZone, 0, f0a s0a f1b s1b, ''",
        "any, 0, f0a s0a f1y s1y, ''",
        "spread, 0, f0a s0a f1b s1b f2l s2l, wrong_place",
        "spread, 0, f0a s0a f1b s1b f2y s2y, ''",
        "spread, 0, f0a s0a f1b s1b x0a f2l s2l, ''",
    })
    void findsPlacesAndLimits(String shape, double limit, String steps, String rule) {
        JobSpec spec = new JobSpec(
                "wk-1",
                "x",
                "blue",
                JobKind.ARRAY,
                Priority.NORMAL,
                4,
                Resources.of(2, 0, 1),
                "i",
                0,
                shape.equals("small") ? List.of("small") : List.of(),
                shape.equals("zone x") ? "x" : null,
                shape.equals("oneZone"),
                shape.equals("spread"),
                !shape.equals("ordinary"),
                0,
                0,
                0,
                -1);
        InvariantChecker checker = new InvariantChecker(
                new VirtualTime(),
                30 * Micros.SECOND,
                Map.of("blue", new Team("blue", 0, 0, (long) (limit * 1000), 0)));
        checker.jobSubmitted("wk-1", 4, false);
        for (String step : steps.split(" ")) {
            String task = "wk-1/" + step.charAt(1);
            SimulatedCloud.RentedMachine machine = MACHINES.get(step.charAt(2));
            switch (step.charAt(0)) {
                case 'f' -> checker.startAccepted(spec, task, 1, machine);
                case 's' -> checker.taskStarted(task, 1, machine.name());
                case 'g' -> checker.resourcesReleased(task, 1, machine);
                default -> {
                    checker.taskEnded(task, 1, machine.name(), ExitCause.STOPPED);
                    checker.resourcesReleased(task, 1, machine);
                }
            }
        }
        assertEquals(
                rule,
                checker.violations().isEmpty()
                        ? ""
                        : checker.violations().get(0).split(" ")[0],
                checker.violations().toString());
    }

    /**
     * Once troubles are over a task waits for so many seconds while task 0 holds its place, beside machines that are up.
     *
     * @param limit of its team; two processors are in use
     */
    @ParameterizedTest
    @CsvSource({
        "any, 0, a, 95, waits_beside_room",
        "any, 0, a, 85, ''",
        "any, 2, a, 95, ''",
        "zone x, 0, y, 95, ''",
        "zone x, 0, ay, 95, waits_beside_room",
        "large, 0, a, 95, ''",
        "any, 0, '', 95, ''"
    })
    void nobodyWaitsBesideRoom(String shape, double limit, String up, int seconds, String rule) {
        VirtualTime time = new VirtualTime();
        InvariantChecker checker = new InvariantChecker(
                time, 30 * Micros.SECOND, Map.of("blue", new Team("blue", 0, 0, (long) (limit * 1000), 0)));
        JobSpec spec = new JobSpec(
                "wk-1",
                "x",
                "blue",
                JobKind.ARRAY,
                Priority.NORMAL,
                2,
                Resources.of(2, 0, 1),
                "i",
                0,
                shape.equals("large") ? List.of("large") : List.of(),
                shape.equals("zone x") ? "x" : null,
                false,
                false,
                true,
                0,
                0,
                0,
                -1);
        checker.jobSubmitted("wk-1", 2, false);
        checker.jobDescribed(spec);
        checker.machines(
                () -> up.chars().mapToObj(each -> MACHINES.get((char) each)).toList());
        checker.responseReceived("wk-1", 0, 201, "queued");
        checker.startAccepted(spec, "wk-1/0", 1, MACHINES.get('l'));
        checker.faultsEnded();
        for (int second = 0; second < seconds; second++) {
            time.run(Micros.SECOND);
            checker.responseReceived("wk-1", time.now(), 200, "queued");
            checker.check();
        }
        assertEquals(
                rule,
                checker.violations().isEmpty()
                        ? ""
                        : checker.violations().get(0).split(" ")[0],
                checker.violations().toString());
    }

    /** What cannot run or lacks a field must not be accepted; a start after the confirmation of a cancellation is counted. */
    @Test
    void countsWhatIsNoRuleOfItsOwn() {
        VirtualTime time = new VirtualTime();
        InvariantChecker checker = new InvariantChecker(time, 30 * Micros.SECOND);
        checker.submitsInvalid("wk-2");
        checker.responseReceived("wk-2", time.now(), 422, null);
        assertEquals(List.of(), checker.violations());
        checker.responseReceived("wk-2", time.now(), 201, "queued");
        assertEquals("accepted_invalid", checker.violations().get(0).split(" ")[0]);
        checker.jobSubmitted("wk-1", 2, false);
        checker.responseReceived("wk-1", time.now(), 201, "queued");
        checker.taskStarted("wk-1/0", 1, "a");
        checker.cancels("wk-1");
        checker.responseReceived("wk-1", time.now(), 200, "withdrawn");
        time.run(Micros.SECOND);
        assertEquals(0, checker.startsAfterCancellation());
        checker.taskStarted("wk-1/1", 1, "a");
        assertEquals(1, checker.startsAfterCancellation());
    }
}
