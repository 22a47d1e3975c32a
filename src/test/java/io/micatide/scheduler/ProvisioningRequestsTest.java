package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ProvisioningRequestsTest {
    /** Writes as a round does: the rows, their conditions, the fence. Returns the transaction. */
    private static Transaction round(ProvisioningRequests rentals, List<ProvisioningRequests.Request> some) {
        List<Transaction.Write> writes = new java.util.ArrayList<>();
        for (ProvisioningRequests.Request booking : some) {
            writes.add(new Transaction.Write(
                    StoreKeys.provisioningRequest(booking.name),
                    booking.state == ProvisioningRequests.State.DONE
                            ? null
                            : new StoredRecord.Provisioning(
                                    "claimed", booking.type, booking.zone, booking.spot, booking.count),
                    0));
        }
        if (rentals.fence(some) != null) {
            writes.add(rentals.fence(some));
        }
        return new Transaction(rentals.conditions(some), writes);
    }

    /**
     * A put whose answer was lost is made again, the machines come, the row goes; then the first put arrives after all. Without the fence
     * it brings the row back, and the next leader waits for machines that were settled long ago.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLatePutBringsNoBookingBack(boolean fenced) {
        Map<String, Long> versions = new HashMap<>();
        long[] revision = {10};
        ProvisioningRequests rentals = new ProvisioningRequests(new SchedulerHarness(1, 0).settings, 5);
        rentals.setFenced(fenced);
        assertFalse(rentals.mayWrite(), "not before the fence is known");
        rentals.fenceRead(0, 0);
        ProvisioningRequests.Request booking =
                rentals.create(new ProvisioningRequests.Offer("small", "a", false), 3, 0);
        Transaction first = round(rentals, rentals.requestsToWrite(5, 0));
        Transaction again = round(rentals, List.of(booking));
        booking.version = apply(again, versions, revision);
        booking.recorded = true;
        rentals.requestsToSubmit();
        rentals.recordAnswer(booking, 3, 0);
        assertTrue(apply(round(rentals, rentals.requestsToWrite(5, 0)), versions, revision) > 0);
        assertEquals(0, versions.getOrDefault(StoreKeys.provisioningRequest(booking.name), 0L));
        assertEquals(fenced ? 0 : revision[0] + 1, apply(first, versions, revision));
    }

    private static long apply(Transaction transaction, Map<String, Long> versions, long[] revision) {
        for (Transaction.Condition compare : transaction.conditions()) {
            if (versions.getOrDefault(compare.key(), 0L) != compare.version()) {
                return 0;
            }
        }
        revision[0]++;
        for (Transaction.Write write : transaction.writes()) {
            versions.put(write.key(), write.record() == null ? 0 : revision[0]);
        }
        return revision[0];
    }
}
