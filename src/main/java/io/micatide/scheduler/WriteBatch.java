package io.micatide.scheduler;

import io.micatide.store.Transaction;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One transaction of a leader, with the scheduler state that its outcome affects.
 *
 * @param transaction the conditions and writes to be sent to the store
 * @param jobWrites the part of each job, in the order of the writes
 * @param provisioningRequests requests to the cloud that are written in the same transaction
 * @param cancelledByDependency ids of the jobs whose records are changed to cancelled because a dependency was cancelled
 */
record WriteBatch(
        Transaction transaction,
        List<JobWrite> jobWrites,
        List<ProvisioningRequests.Request> provisioningRequests,
        List<String> cancelledByDependency) {
    /**
     * The part of a batch that belongs to one job.
     *
     * @param job the job
     * @param endsJob whether the write removes the job's ledger, because the job is done or cancelled
     * @param machines the machines that the new ledger names
     * @param pages numbers of the ledger pages that are written or deleted
     * @param finishedTasks the finished tasks that each page holds after the write; empty if the write ends the job
     */
    record JobWrite(
            Job job, boolean endsJob, Set<String> machines, List<Integer> pages, Map<Integer, BitSet> finishedTasks) {}

    /**
     * Numbers of writes that the rate limit of the store allows in one batch.
     *
     * @param maxWrites limit for writes that start or end a job
     * @param maxDeferrableWrites limit for finished tasks, which may wait because workers report them until they are recorded
     */
    record Limits(int maxWrites, int maxDeferrableWrites) {}

    /**
     * Writes of the same transaction that do not concern jobs with ledgers.
     *
     * @param provisioningRequests the requests to the cloud that are among the writes
     * @param writes the writes, which count against the limits
     * @param conditions the conditions of these writes
     */
    record AdditionalWrites(
            List<ProvisioningRequests.Request> provisioningRequests,
            List<Transaction.Write> writes,
            List<Transaction.Condition> conditions) {
        static final AdditionalWrites NONE = new AdditionalWrites(List.of(), List.of(), List.of());
    }
}
