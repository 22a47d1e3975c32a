package review2;

import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** One case: plays it and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;
    private static final int LIMIT_SECONDS = 117;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Tasks tasks = new Tasks();

    /** The verdict, or {@link #COULD_NOT_RUN}. */
    abstract int play(Path record) throws Exception;

    static void run(Case played, String[] arguments) {
        Thread watchdog = new Thread(() -> {
            sleep(LIMIT_SECONDS);
            System.err.println("the case took too long");
            System.exit(COULD_NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int verdict;
        try {
            verdict = played.play(Path.of(arguments[0]));
        } catch (Exception e) {
            e.printStackTrace();
            verdict = COULD_NOT_RUN;
        }
        System.out.println(verdict == BROKEN ? "broken" : verdict == HELD ? "held" : "could not run");
        System.exit(verdict);
    }

    static void sleep(double seconds) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until something holds, for so many seconds at most; returns whether it does. */
    static boolean await(double seconds, BooleanSupplier holds) {
        for (long until = System.nanoTime() + (long) (seconds * 1e9); System.nanoTime() < until; sleep(0.1)) {
            if (holds.getAsBoolean()) {
                return true;
            }
        }
        return holds.getAsBoolean();
    }

    static MachineType hurlerSmall(List<String> zones) {
        return new MachineType(
                "hurler-small", Resources.of(8, 0, 64), 25, 0.3, 0.54, 0.19, 30 * Micros.SECOND, zones);
    }

    static MachineType crokerLarge(List<String> zones) {
        return new MachineType(
                "croker-large", Resources.of(64, 0, 512), 35, 0.3, 4.02, 1.31, 15 * Micros.SECOND, zones);
    }
}
