package io.micatide.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.core.ExitCause;
import io.micatide.core.Micros;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each rule that the checker holds is seen to be broken by a planted fault, and kept by its nearest neighbour. */
class RuleCheckerTest {
    /**
     * Steps on a job of two tasks: {@code s0a} task 0 starts on machine a, {@code d0a} it is done there, {@code x0a} stopped there;
     * {@code t+5} five seconds pass; {@code c} its user cancels, {@code k} all troubles are over, {@code q} the user asks,
     * {@code h200done} hears an answer to a question of this moment.
     */
    @ParameterizedTest
    @CsvSource({
        "s0a s0b, ran_twice", "s0a x0a s0b, ''", "s0a s1a, ''",
        "h201queued c h200withdrawn t+29 s0a x0a, ''", "h201queued c h200withdrawn t+31 s0a, ran_cancelled",
        "h201queued s0a c h200withdrawn t+31, ran_cancelled", "h201queued s0a c h200withdrawn t+29 x0a t+5, ''",
        "h201queued s0a c t+31, ''",
        "h201queued t+1 h404, forgotten", "h404, ''", "h201queued t+1 h422, forgotten", "h201queued t+1 h503, ''",
        "h201queued k q t+74, ''", "h201queued k q t+80, forgotten", "h201queued q t+80, ''", "h201queued q t+80 k t+70 h200queued t+20, ''",
        "h201queued q t+80 k t+80, forgotten", "h201queued k t+90 q t+70, ''",
        "h201queued s0a d0a t+1 h200done, not_done", "h201queued s0a d0a s1a d1a t+1 h200done, ''",
        "h201queued s0a d0a s1a d1a t+1 h200done t+1 h200running, went_back", "h201queued h200withdrawn, went_back",
        "h201queued c h200withdrawn t+1 h200queued, went_back",
    })
    void findsWhatIsPlanted(String steps, String rule) {
        VirtualTime time = new VirtualTime();
        RuleChecker checker = new RuleChecker(time, 30 * Micros.SECOND);
        time.run(Micros.SECOND);
        checker.submits("wk-1", 2, false);
        for (String step : steps.split(" ")) {
            switch (step.charAt(0)) {
                case 's' -> checker.started("wk-1/" + step.charAt(1), 1, step.substring(2));
                case 'd' -> checker.over("wk-1/" + step.charAt(1), 1, step.substring(2), ExitCause.DONE);
                case 'x' -> checker.over("wk-1/" + step.charAt(1), 1, step.substring(2), ExitCause.STOPPED);
                case 'c' -> checker.cancels("wk-1");
                case 'k' -> checker.calm();
                case 'q' -> checker.asks("wk-1");
                case 'h' -> checker.heard("wk-1", time.now(), Integer.parseInt(step.substring(1, 4)),
                        step.length() > 4 ? step.substring(4) : null);
                default -> {
                    for (int second = 0; second < Integer.parseInt(step.substring(2)); second++) {
                        time.run(Micros.SECOND);
                        checker.look();
                    }
                }
            }
        }
        assertEquals(rule, checker.broken().isEmpty() ? "" : checker.broken().get(0).split(" ")[0], checker.broken().toString());
    }
}
