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
 * Leases of 10 s, cancellations of 30: what is answered within 18.98 s of the moment up to which all is known is over in time. Each answer
 * that a case allows is held against what it could prolong.
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
     * Steps in seconds: {@code r100} a read that was asked for then; {@code 0@130-131/200} the first peer's digest, asked for at 130
     * and received at 131, of a process that has run for 200 s; with {@code !} after it not complete, with {@code ?} by another label;
     * {@code a140} may workers be answered?
     */
    @ParameterizedTest
    @CsvSource({
        // Nothing was ever read: what an earlier process or a peer confirmed is not known.
        "a0, n",
        "0@1-1/500 1@1-1/500 a2, n", // Reads count from when they were asked for, and do not go back.
        "r100 a118 a119, yn",
        "r100 r90 a118, y",
        "r100 a119 r119 a120, ny",
        "r100 a118 a119 r118 a136 a137 a138, ynynn", // All send digests without a gap: for as long as they do, an
        // outage of any length.
        "r100 0@117-117/500 1@117-117/500 a135 0@135-135/520 1@135-135/520 a150 a154, yyn", // One of them does not.
        "r100 0@117-117/500 a118 a119, yn", // From when the request left, not from when the answer came.
        "r100 0@101-118/500 1@101-118/500 a119 a120, yn", // Started again since the last read: what its earlier process
        // confirmed is not known. A read mends that.
        "r100 0@110-110/5 1@110-110/500 a118 a119, yn",
        "r100 0@110-110/5 1@110-110/500 r120 0@125-125/20 1@125-125/20 a143, y", // Started again between two digests:
        // all is known up to the earlier
        // process's last one.
        "r100 0@110-110/500 1@110-110/500 0@118-118/3 1@118-118/508 a128 a129, yn", // Started just before and just
        // after the moment up to which all
        // is known; clocks drift, so a
        // second of some
        // minutes is not told apart.
        "r100 0@130-130/31 1@130-130/31 a131, y",
        "r100 0@130-130/29 1@130-130/31 a131, n",
        "r100 0@1100-1100/1000.5 1@1100-1100/1003 a1101, n", // The answer came late: its process may have been started
        // as late as that.
        "r100 0@105-130/31 1@105-105/500 a119 a123, yy",
        "r100 0@105-130/20 1@105-105/500 a119, n", // More names than fit, or another process in its place: a gap.
        "r100 0@110-110/500! 1@110-110/500 a119, n",
        "r100 0@110-110/500? 1@110-110/500 a119, n", // Digests that overtake each other.
        "r100 0@115-116/500 1@115-115/500 0@105-117/500 a133, y",
    })
    void workersAreAnsweredOnlyWhileAllCancellationsAreKnown(String steps, String told) {
        CancellationHorizon horizon = new CancellationHorizon(SETTINGS);
        StringBuilder text = new StringBuilder();
        for (String step : steps.split(" ")) {
            if (step.charAt(0) == 'r') {
                horizon.storeRead(micros(step.substring(1)));
            } else if (step.charAt(0) == 'a') {
                text.append(horizon.mayAnswerWorkers(micros(step.substring(1))) ? 'y' : 'n');
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
        assertEquals(told, text.toString());
    }

    /** Without peers there is no digest to wait for, but an earlier process of the controller may have confirmed cancellations. */
    @Test
    void aControllerWithoutPeersNeedsOneRead() {
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

    /** Settings that leave less than a failover needs are reported to the operator; a margin of a second and the drift of clocks count. */
    @ParameterizedTest
    @CsvSource({"10, 30, true", "30, 55, true", "10, 15.1, true", "10, 15.0, false", "17.5, 20, false", "30, 10, false"
    })
    void settingsThatCannotBeKeptAreReported(double lease, double cancel, boolean canBeKept) {
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

    /** What a controller names: jobs above the revision asked for, complete unless something above it may be missing. */
    @ParameterizedTest
    @CsvSource({
        // c a cancellation at a revision, l all jobs read as of one, n so many cancellations from one on; then the
        // revision asked for
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
    void digestIsCompleteUnlessSomethingMayBeMissing(String steps, long revision, String told) {
        CancellationLog log = new CancellationLog();
        for (String step : steps.split(" ")) {
            String[] parts = step.substring(1).split("@");
            long number = Long.parseLong(parts[0]);
            switch (step.charAt(0)) {
                case 'c' -> log.record("wk-1", number);
                case 'l' -> log.allRecordsReadAt(number);
                default -> {
                    for (long each = 0; each < number; each++) {
                        log.record("wk-" + each, Long.parseLong(parts[1]) + each);
                    }
                }
            }
        }
        CancellationDigest digest = log.digestSince(revision, "c1", 0);
        assertEquals(told, digest.complete() + " " + digest.cancelled().size());
    }
}
