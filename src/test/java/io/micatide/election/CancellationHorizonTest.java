package io.micatide.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.jobs.CancellationLog;
import io.micatide.model.CancellationDigest;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an answer that extends a cancelled job beyond {@code workers.cancel_s}, because a cancellation that a peer or an earlier
 * process confirmed is not known. With worker leases of 10 s and a cancellation limit of 30 s, workers may be answered until 18.98 s after
 * the time up to which all cancellations are known.
 */
class CancellationHorizonTest {
    private static final Settings SETTINGS = new Settings(
            "c0",
            "a",
            "x:1",
            "x:2",
            List.of(new Settings.Peer("c1", "a", "x:3"), new Settings.Peer("c2", "b", "x:4")),
            "x:5",
            "x:6",
            List.of("a", "b"),
            0,
            Map.of(),
            List.of(),
            Micros.SECOND,
            10 * Micros.SECOND,
            30 * Micros.SECOND,
            5 * Micros.SECOND,
            30 * Micros.SECOND,
            80,
            30,
            2048,
            2048,
            5,
            8,
            Micros.SECOND,
            1,
            100,
            100);

    /**
     * Steps with times in seconds: {@code r100} is a read sent at 100; {@code 0@130-131/200} is a digest of the first peer, requested at 130
     * and received at 131, of a process that has run for 200 s, incomplete if followed by {@code !}, from another label if followed by
     * {@code ?}; {@code a140} checks whether workers may be answered at 140.
     */
    @ParameterizedTest
    @CsvSource({
        // Nothing was read yet: cancellations that an earlier process or a peer confirmed are unknown.
        "a0, n",
        "0@1-1/500 1@1-1/500 a2, n",
        // A read counts from the time at which it was sent, and an older one changes nothing.
        "r100 a118 a119, yn",
        "r100 r90 a118, y",
        "r100 a119 r119 a120, ny",
        "r100 a118 a119 r118 a136 a137 a138, ynynn",
        // All peers send digests without a gap: an outage of any length is bridged as long as they do.
        "r100 0@117-117/500 1@117-117/500 a135 0@135-135/520 1@135-135/520 a150 a154, yyn",
        // One of two peers sends no digest.
        "r100 0@117-117/500 a118 a119, yn",
        // A digest counts from the time of its request, not from that of the answer.
        "r100 0@101-118/500 1@101-118/500 a119 a120, yn",
        // A peer restarted after the last read: what its previous process confirmed is unknown until the next read.
        "r100 0@110-110/5 1@110-110/500 a118 a119, yn",
        "r100 0@110-110/5 1@110-110/500 r120 0@125-125/20 1@125-125/20 a143, y",
        // A peer restarted between two digests: all is known up to the last digest of its previous process.
        "r100 0@110-110/500 1@110-110/500 0@118-118/3 1@118-118/508 a128 a129, yn",
        // A process started just before or after the time up to which all is known.
        // Clock drift hides a difference of one second in an uptime of several minutes.
        "r100 0@130-130/31 1@130-130/31 a131, y",
        "r100 0@130-130/29 1@130-130/31 a131, n",
        "r100 0@1100-1100/1000.5 1@1100-1100/1003 a1101, n",
        // The answer came late: the process may have started after the request was sent.
        "r100 0@105-130/31 1@105-105/500 a119 a123, yy",
        "r100 0@105-130/20 1@105-105/500 a119, n",
        // An incomplete digest, and one of another controller at this address: both leave a gap.
        "r100 0@110-110/500! 1@110-110/500 a119, n",
        "r100 0@110-110/500? 1@110-110/500 a119, n",
        // Digests that overtake each other.
        "r100 0@115-116/500 1@115-115/500 0@105-117/500 a133, y",
    })
    void workersAreAnsweredOnlyWhileAllCancellationsAreKnown(String steps, String expected) {
        CancellationHorizon horizon = new CancellationHorizon(SETTINGS);
        StringBuilder answers = new StringBuilder();
        for (String step : steps.split(" ")) {
            if (step.charAt(0) == 'r') {
                horizon.storeRead(micros(step.substring(1)));
            } else if (step.charAt(0) == 'a') {
                answers.append(horizon.mayAnswerWorkers(micros(step.substring(1))) ? 'y' : 'n');
            } else {
                String[] times = step.substring(2).replaceAll("[!?]", "").split("[-/]");
                int peer = step.charAt(0) - '0';
                horizon.digestReceived(
                        peer,
                        new CancellationDigest(
                                step.endsWith("?") ? "c9" : "c" + (peer + 1),
                                micros(times[2]),
                                !step.endsWith("!"),
                                List.of()),
                        micros(times[0]),
                        micros(times[1]));
            }
        }
        assertEquals(expected, answers.toString());
    }

    /** Without peers no digest is needed, but an earlier process of the controller may have confirmed cancellations. */
    @Test
    void controllerWithoutPeersNeedsOneRead() {
        Settings alone = new Settings(
                "c0",
                "a",
                "x:1",
                "x:2",
                List.of(),
                "x:5",
                "x:6",
                List.of("a"),
                0,
                Map.of(),
                List.of(),
                Micros.SECOND,
                10 * Micros.SECOND,
                30 * Micros.SECOND,
                5 * Micros.SECOND,
                30 * Micros.SECOND,
                80,
                30,
                2048,
                2048,
                5,
                8,
                Micros.SECOND,
                1,
                100,
                100);
        CancellationHorizon horizon = new CancellationHorizon(alone);
        assertEquals(false, horizon.mayAnswerWorkers(Micros.SECOND));
        horizon.storeRead(Micros.SECOND);
        assertEquals(true, horizon.mayAnswerWorkers(900 * Micros.SECOND));
    }

    /** Settings that leave less time than a failover needs are reported; a margin of 1 s and clock drift are included. */
    @ParameterizedTest
    @CsvSource({"10, 30, true", "30, 55, true", "10, 15.1, true", "10, 15.0, false", "17.5, 20, false", "30, 10, false"
    })
    void unsatisfiableSettingsAreReported(double lease, double cancel, boolean canBeKept) {
        Settings settings = new Settings(
                "c0",
                "a",
                "x:1",
                "x:2",
                List.of(),
                "x:5",
                "x:6",
                List.of("a"),
                0,
                Map.of(),
                List.of(),
                Micros.SECOND,
                Micros.ofSeconds(lease),
                30 * Micros.SECOND,
                5 * Micros.SECOND,
                Micros.ofSeconds(cancel),
                80,
                30,
                2048,
                2048,
                5,
                8,
                Micros.SECOND,
                1,
                100,
                100);
        assertEquals(
                canBeKept,
                CancellationHorizon.violationOf(settings).isEmpty(),
                CancellationHorizon.violationOf(settings).orElse("no violation"));
    }

    private static long micros(String seconds) {
        return Micros.ofSeconds(Double.parseDouble(seconds));
    }

    /** A digest contains the jobs cancelled above the requested revision, and is complete unless one of them may be missing. */
    @ParameterizedTest
    @CsvSource({
        // c: a cancellation at a revision; l: all jobs read as of a revision;
        // n: a number of cancellations from a revision on; then the requested revision.
        "c5 c9 c7, 6, true 2",
        "c5 c9, 9, true 0",
        "l4 c5, 4, true 1",
        "l4 c5, 3, false 1",
        "n1000@1, 0, true 1000",
        "n1001@1, 0, false 1000",
        "n1001@1, 1, true 1000",
        "c900 n1000@1, 899, false 101",
        "c2000 c3 n999@4, 1500, false 0",
    })
    void digestIsCompleteUnlessSomethingMayBeMissing(String steps, long revision, String expected) {
        CancellationLog log = new CancellationLog();
        for (String step : steps.split(" ")) {
            String[] parts = step.substring(1).split("@");
            long number = Long.parseLong(parts[0]);
            switch (step.charAt(0)) {
                case 'c' -> log.record("wk-1", number);
                case 'l' -> log.allRecordsReadAt(number);
                default -> {
                    for (long offset = 0; offset < number; offset++) {
                        log.record("wk-" + offset, Long.parseLong(parts[1]) + offset);
                    }
                }
            }
        }
        CancellationDigest digest = log.digestSince(revision, "c1", 0);
        assertEquals(expected, digest.complete() + " " + digest.cancelled().size());
    }
}
