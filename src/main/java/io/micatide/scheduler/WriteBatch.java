package io.micatide.scheduler;

import io.micatide.store.Transaction;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One transaction of a leader and what its outcome means for the scheduler's state.
 *
 * @param transaction the conditions and writes to be sent to the store
 * @param jobWrites what is written of each job, in the order of the writes
 * @param provisioningRequests requests to the cloud that are written along with the jobs
 * @param cancelledByDependency ids of the jobs whose records are closed because a dependency was cancelled
 */
record WriteBatch(
        Transaction transaction,
        List<JobWrite> jobWrites,
        List<ProvisioningRequests.Request> provisioningRequests,
        List<String> cancelledByDependency) {
    /**
     * What a batch writes of one job.
     *
     * @param job the job
     * @param endsJob whether the write removes the job's ledger, since the job is done or cancelled
     * @param machines the machines that the new ledger names
     * @param pages numbers of the ledger pages that are written or deleted
     * @param finishedTasks the finished tasks that each page holds after the write; empty where the write ends the job
     */
    record JobWrite(
            Job job, boolean endsJob, Set<String> machines, List<Integer> pages, Map<Integer, BitSet> finishedTasks) {}

    /**
     * How many writes the rate of the store leaves for one batch.
     *
     * @param maxWrites for what starts or ends a job
     * @param maxDeferrableWrites for the rest: workers report a finished task until it is recorded, so that may wait
     */
    record Limits(int maxWrites, int maxDeferrableWrites) {}

    /**
     * Writes that have nothing to do with ledgers and go with the same transaction.
     *
     * @param provisioningRequests the requests to the cloud that are among the writes
     * @param writes the writes, counted against the limits
     * @param conditions on which the writes depend
     */
    record AdditionalWrites(
            List<ProvisioningRequests.Request> provisioningRequests,
            List<Transaction.Write> writes,
            List<Transaction.Condition> conditions) {
        static final AdditionalWrites NONE = new AdditionalWrites(List.of(), List.of(), List.of());
    }
}
