package io.micatide.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Micros;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StoreConnectivityTest {
    /** Seconds since this controller was served and since a sibling said that it was; -1: never. */
    @ParameterizedTest
    @CsvSource({
        "0.5, 0.5, false",
        // Cut off alone: users are better off elsewhere.
        "5, 0.5, true",
        // An outage, or no way to the siblings: nobody is known to do better.
        "5, 5, false",
        "5, -1, false",
        "-1, 1, true",
    })
    void onlyASiblingThatIsServedTellsACutFromAnOutage(double served, double sibling, boolean lostAlone) {
        StoreConnectivity reach = new StoreConnectivity();
        long now = 100 * Micros.SECOND;
        if (served >= 0) {
            reach.requestServed(now - Micros.ofSeconds(served));
        }
        if (sibling >= 0) {
            reach.peerServed(now - Micros.ofSeconds(sibling));
        }
        assertEquals(lostAlone, reach.isPartitionedAlone(now));
    }
}
