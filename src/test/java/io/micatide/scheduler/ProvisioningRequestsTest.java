package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the conditions under which records of provisioning requests are written. */
class ProvisioningRequestsTest {
    /** Returns the transaction of a leader for these requests: their records, the conditions and the fence. */
    private static Transaction transaction(ProvisioningRequests requests, List<ProvisioningRequests.Request> written) {
        List<Transaction.Write> writes = new ArrayList<>();
        for (ProvisioningRequests.Request request : written) {
            writes.add(new Transaction.Write(
                    StoreKeys.provisioningRequest(request.name),
                    request.state == ProvisioningRequests.State.DONE
                            ? null
                            : new StoredRecord.Provisioning(
                                    "claimed", request.type, request.zone, request.spot, request.count),
                    0));
        }
        if (requests.fenceWrite(written) != null) {
            writes.add(requests.fenceWrite(written));
        }
        return new Transaction(requests.conditions(written), writes);
    }

    /**
     * A put without an answer is repeated, the machines are rented and the record is deleted; then the first put reaches the store late. Without the
     * fence it restores the record, and the next leader waits for machines of a request that was finished long ago.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void latePutDoesNotRestoreDeletedRequest(boolean isFenced) {
        Map<String, Long> versions = new HashMap<>();
        long[] revision = {10};
        ProvisioningRequests requests = new ProvisioningRequests(new SchedulerHarness(1, 0).settings, 5);
        requests.setFenced(isFenced);
        assertFalse(requests.mayWrite(), "records may be written before the fence is known");
        requests.fenceRead(0, 0);
        ProvisioningRequests.Request request =
                requests.create(new ProvisioningRequests.Offer("small", "a", false), 3, 0);
        Transaction firstPut = transaction(requests, requests.requestsToWrite(5, 0));
        Transaction secondPut = transaction(requests, List.of(request));
        request.version = apply(secondPut, versions, revision);
        request.isStored = true;
        requests.requestsToSubmit();
        requests.recordAnswer(request, 3, 0);
        assertTrue(apply(transaction(requests, requests.requestsToWrite(5, 0)), versions, revision) > 0);
        assertEquals(0, versions.getOrDefault(StoreKeys.provisioningRequest(request.name), 0L));
        assertEquals(isFenced ? 0 : revision[0] + 1, apply(firstPut, versions, revision));
    }

    /** Applies a transaction to the versions by key; returns its revision, or 0 if a condition does not hold. */
    private static long apply(Transaction transaction, Map<String, Long> versions, long[] revision) {
        for (Transaction.Condition condition : transaction.conditions()) {
            if (versions.getOrDefault(condition.key(), 0L) != condition.version()) {
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
