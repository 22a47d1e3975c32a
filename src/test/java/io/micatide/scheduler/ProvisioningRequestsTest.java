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

class ProvisioningRequestsTest {
    /** What a leader writes for the requests: their rows, the conditions and the fence. */
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
        if (requests.fence(written) != null) {
            writes.add(requests.fence(written));
        }
        return new Transaction(requests.conditions(written), writes);
    }

    /**
     * A put whose answer was lost is made again, the machines come, the row goes; then the first put arrives after all. Without the fence
     * it brings the row back, and the next leader waits for machines that were settled long ago.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void latePutBringsNoDeletedRequestBack(boolean fenced) {
        Map<String, Long> versions = new HashMap<>();
        long[] revision = {10};
        ProvisioningRequests requests = new ProvisioningRequests(new SchedulerHarness(1, 0).settings, 5);
        requests.setFenced(fenced);
        assertFalse(requests.mayWrite(), "not before the fence is known");
        requests.fenceRead(0, 0);
        ProvisioningRequests.Request request =
                requests.create(new ProvisioningRequests.Offer("small", "a", false), 3, 0);
        Transaction first = transaction(requests, requests.requestsToWrite(5, 0));
        Transaction again = transaction(requests, List.of(request));
        request.version = apply(again, versions, revision);
        request.recorded = true;
        requests.requestsToSubmit();
        requests.recordAnswer(request, 3, 0);
        assertTrue(apply(transaction(requests, requests.requestsToWrite(5, 0)), versions, revision) > 0);
        assertEquals(0, versions.getOrDefault(StoreKeys.provisioningRequest(request.name), 0L));
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
