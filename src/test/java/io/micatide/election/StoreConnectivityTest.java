package io.micatide.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Micros;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StoreConnectivityTest {
    /** Seconds since the store answered this controller and since a peer said that it answers it; -1: never. */
    @ParameterizedTest
    @CsvSource({
        "0.5, 0.5, false",
        // Partitioned alone: users are better off elsewhere.
        "5, 0.5, true",
        // An outage, or no way to the peers: nobody is known to do better.
        "5, 5, false",
        "5, -1, false",
        "-1, 1, true",
    })
    void peerThatReachesTheStoreDistinguishesPartitionFromOutage(
            double ownAnswer, double peerAnswer, boolean isPartitionedAlone) {
        StoreConnectivity connectivity = new StoreConnectivity();
        long now = 100 * Micros.SECOND;
        if (ownAnswer >= 0) {
            connectivity.storeAnswered(now - Micros.ofSeconds(ownAnswer));
        }
        if (peerAnswer >= 0) {
            connectivity.peerReachedStore(now - Micros.ofSeconds(peerAnswer));
        }
        assertEquals(isPartitionedAlone, connectivity.isOnlyControllerPartitioned(now));
    }
}
