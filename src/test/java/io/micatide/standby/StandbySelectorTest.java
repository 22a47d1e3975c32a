package io.micatide.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.StandbyReadiness;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against standbys in the wrong zone or order, and against replacing a standby that answers. */
class StandbySelectorTest {
    private static final long SECOND = Micros.SECOND;

    private static Settings settings(double rate, String... siblings) {
        List<Settings.Peer> peers = new ArrayList<>();
        for (String sibling : siblings) {
            peers.add(new Settings.Peer(sibling.substring(2), sibling.substring(0, 1), "x"));
        }
        return new Settings(
                "n-2",
                "a",
                "b",
                "p",
                peers,
                "cloud",
                "state",
                List.of("a", "b"),
                0,
                Map.of(),
                List.of(),
                SECOND,
                10 * SECOND,
                SECOND,
                SECOND,
                30 * SECOND,
                rate,
                30,
                16384,
                16384,
                16,
                8,
                SECOND,
                0.4,
                148,
                700);
    }

    /**
     * Store requests per second, the peers' answers ({@code label=READINESS}, {@code -} if the store does not answer the peer, {@code null} if
     * it cannot follow), and the standbys that the leader n-2 in zone a designates.
     */
    @ParameterizedTest
    @CsvSource({
        "300, 'n-3=SEASONED,n-4=SEASONED,n-1=SEASONED', 'n-3 n-1'",
        "300, 'n-1=SEASONED,n-4=SEASONED', 'n-1 n-4'",
        // A warm standby has the best rank.
        "300, 'n-3=SEASONED,n-1=WARM', 'n-1 n-3'",
        // Zone a is the leader's own. Within a zone, peers follow the leader in the order of labels.
        "300, 'n-4=SEASONED,n-10=SEASONED', 'n-4 n-10'",
        "30, 'n-3=SEASONED,n-1=SEASONED', 'n-3'",
        "300, 'n-3=-,n-1=SEASONED', 'n-1'",
        "300, 'n-3=null', ''",
    })
    void selectsByZoneAndLabel(double rate, String answers, String expected) {
        Settings settings = settings(rate, "b n-1", "b n-3", "a n-4", "a n-10");
        StandbySelector selector = new StandbySelector(settings);
        selector.termStarted(0);
        assertNull(selector.selectStandbys(SECOND));
        for (String answer : answers.split(",")) {
            String[] part = answer.split("=");
            int sibling =
                    settings.peers().stream().map(Settings.Peer::label).toList().indexOf(part[0]);
            boolean isStoreReachable = !part[1].equals("-");
            selector.peerAnswered(
                    sibling,
                    part[1].equals("null") || !isStoreReachable ? null : StandbyReadiness.valueOf(part[1]),
                    isStoreReachable,
                    SECOND);
        }
        assertEquals(expected, String.join(" ", selector.selectStandbys(2 * SECOND)));
    }

    /** A designated standby remains designated while it answers, even if another peer returns; one that stops answering is replaced. */
    @Test
    void keepsDesignatedStandbyWhileItAnswers() {
        StandbySelector selector = new StandbySelector(settings(300, "b n-1", "b n-3", "a n-4"));
        selector.termStarted(0);
        selector.peerAnswered(2, StandbyReadiness.SEASONED, true, 2 * SECOND);
        selector.peerAnswered(0, StandbyReadiness.WARM, true, 2 * SECOND);
        assertEquals(List.of("n-1", "n-4"), selector.selectStandbys(2 * SECOND));
        selector.peerAnswered(0, StandbyReadiness.WARM, true, 6 * SECOND);
        selector.peerAnswered(1, StandbyReadiness.SEASONED, true, 6 * SECOND);
        selector.peerAnswered(2, StandbyReadiness.WARM, true, 4 * SECOND);
        assertEquals(List.of("n-1", "n-4"), selector.selectStandbys(6 * SECOND));
        assertEquals(List.of("n-1", "n-3"), selector.selectStandbys(8 * SECOND));
        assertEquals(0, selector.firstWarmStandby(8 * SECOND));
        assertEquals(-1, selector.firstWarmStandby(20 * SECOND));
    }
}
