package io.micatide.simulation.scale;

import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * What one scale run plays.
 *
 * @param workers hollow workers, 1 to {@value #MOST_WORKERS}
 * @param controllers real processes, 1 to {@value #MOST_CONTROLLERS}
 * @param startsPerSecond task starts that the submitted jobs ask for, a second, 0.1 to {@value #MOST_STARTS}
 * @param tasksPerJob tasks of each array, 1 to {@value #MOST_TASKS}
 * @param taskSeconds how long a task runs on average, 1 to 600
 * @param gangs gangs of whole machines that are submitted at the beginning, 0 to {@value #MOST_GANGS}
 * @param teams teams with a guarantee and a limit, 1 to {@value #MOST_TEAMS}
 * @param seconds how long is measured, {@value #FEWEST_SECONDS} to {@value #MOST_SECONDS}
 * @param seed of all that is drawn
 */
public record ScalePlan(
        int workers,
        int controllers,
        double startsPerSecond,
        int tasksPerJob,
        double taskSeconds,
        int gangs,
        int teams,
        int seconds,
        long seed,
        Fault fault) {
    /** What fails at half of the measured time. */
    public enum Fault {
        NONE("none"),
        /** The controller that answers most heartbeats is killed, and started again. */
        LEADER("leader"),
        /** The workers of one zone say nothing for twice their lease. */
        ZONE("zone"),
        /** All controllers are killed at once, and started again. */
        ALL("all");

        private final String word;

        Fault(String word) {
            this.word = word;
        }

        /**
         * The fault with this name on the command line.
         *
         * @throws InvalidPlanException there is none
         */
        public static Fault named(String word) throws InvalidPlanException {
            for (Fault fault : values()) {
                if (fault.word.equals(word)) {
                    return fault;
                }
            }
            String known = Arrays.stream(values()).map(fault -> fault.word).collect(Collectors.joining(", "));
            throw new InvalidPlanException("--fault: " + word + " is not known; known are " + known);
        }

        @Override
        public String toString() {
            return word;
        }
    }

    /** A plan that cannot be played; the message is one line for the operator. */
    public static final class InvalidPlanException extends Exception {
        private static final long serialVersionUID = 1;

        public InvalidPlanException(String message) {
            super(message);
        }
    }

    static final int MOST_WORKERS = 6_000;
    static final int MOST_CONTROLLERS = 20;
    static final int MOST_STARTS = 2_000;
    static final int MOST_TASKS = 10_000;
    static final int MOST_GANGS = 5_000;
    static final int MOST_TEAMS = 200;
    static final int FEWEST_SECONDS = 10;
    static final int MOST_SECONDS = 3_600;
    private static final int MOST_TASK_SECONDS = 600;
    private static final double FEWEST_STARTS = 0.1;

    /** @throws InvalidPlanException a value is out of its range */
    public void check() throws InvalidPlanException {
        range("--workers", workers, 1, MOST_WORKERS);
        range("--controllers", controllers, 1, MOST_CONTROLLERS);
        range("--starts", startsPerSecond, FEWEST_STARTS, MOST_STARTS);
        range("--tasks", tasksPerJob, 1, MOST_TASKS);
        range("--task-seconds", taskSeconds, 1, MOST_TASK_SECONDS);
        range("--gangs", gangs, 0, MOST_GANGS);
        range("--teams", teams, 1, MOST_TEAMS);
        range("--seconds", seconds, FEWEST_SECONDS, MOST_SECONDS);
    }

    private static void range(String name, double value, double least, double most) throws InvalidPlanException {
        // A comparison that NaN fails as well.
        if (!(value >= least && value <= most)) {
            throw new InvalidPlanException(
                    name + ": must be from " + number(least) + " to " + number(most) + ", is " + number(value));
        }
    }

    private static String number(double value) {
        return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
    }

    double jobsPerSecond() {
        return startsPerSecond / tasksPerJob;
    }

    /** Until the load has the level that is measured: all workers are known, and as many tasks end as start. */
    int warmUpSeconds() {
        return ScaleSettings.SETTLE_SECONDS + (int) Math.ceil(1.5 * taskSeconds);
    }
}
