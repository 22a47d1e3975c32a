package io.micatide.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Micros;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a controller that mistakes an outage of the store for a partition of its own, or the reverse. */
class StoreConnectivityTest {
    /** Seconds since the store last answered this controller, and since a peer last reported an answer; -1 for never. */
    @ParameterizedTest
    @CsvSource({
        "0.5, 0.5, false",
        // Only this controller is partitioned: another one serves users better.
        "5, 0.5, true",
        // An outage, or unreachable peers: no controller is known to serve users better.
        "5, 5, false",
        "5, -1, false",
        "-1, 1, true",
    })
    void peerThatReachesTheStoreDistinguishesPartitionFromOutage(
            double ownAnswer, double peerAnswer, boolean isOnlyControllerPartitioned) {
        StoreConnectivity connectivity = new StoreConnectivity();
        long now = 100 * Micros.SECOND;
        if (ownAnswer >= 0) {
            connectivity.storeAnswered(now - Micros.ofSeconds(ownAnswer));
        }
        if (peerAnswer >= 0) {
            connectivity.peerReachedStore(now - Micros.ofSeconds(peerAnswer));
        }
        assertEquals(isOnlyControllerPartitioned, connectivity.isOnlyControllerPartitioned(now));
    }
}
