package io.micatide.controller;

import io.micatide.jobs.JobCache;
import io.micatide.model.CancellationDigest;
import io.micatide.model.JobState;
import io.micatide.model.Settings;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.net.StoreClient;
import io.micatide.protocol.JobCodec;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Cancels jobs, each by one conditional write of the job's own record. Part of the users' actor. */
final class Cancellations {
    private static final Logger LOG = LoggerFactory.getLogger(UsersActor.class);

    private final UsersActor owner;
    private final Settings settings;
    private final StoreClient store;
    private final JobCache jobCache;
    private final JobCacheRefresher refresher;
    private LeaderActor leaderActor;

    Cancellations(
            UsersActor owner, Settings settings, StoreClient store, JobCache jobCache, JobCacheRefresher refresher) {
        this.owner = owner;
        this.settings = settings;
        this.store = store;
        this.jobCache = jobCache;
        this.refresher = refresher;
    }

    /** Sets the actor that reports cancellations confirmed by this controller to the leader. */
    void attachLeaderActor(LeaderActor leader) {
        leaderActor = leader;
    }

    /**
     * Handles a request to cancel a job.
     *
     * @param conflicts number of earlier transactions for this request that the store rejected because the job record had changed
     */
    void cancel(Request request, String id, int conflicts) {
        if (!JobCodec.isId(id)) {
            request.answer(404, UsersActor.NO_SUCH_JOB);
            return;
        }
        JobCache.Entry entry = jobCache.get(id);
        if (entry == null || (conflicts > 0 && !jobCache.state(id).isFinal())) {
            refresher.afterRefresh(
                    request,
                    () -> owner.locate(request, id, 0, new KnownJobReply(owner, request, id) {
                        @Override
                        public void foundInCache() {
                            writeCancellation(request, id, conflicts);
                        }

                        @Override
                        public void notFound() {
                            request.answer(404, UsersActor.NO_SUCH_JOB);
                        }
                    }));
        } else {
            writeCancellation(request, id, conflicts);
        }
    }

    private void writeCancellation(Request request, String id, int conflicts) {
        JobCache.Entry entry = jobCache.get(id);
        if (jobCache.state(id).isFinal()) {
            request.answer(200, JobCodec.accepted(id, owner.standing(entry)));
            return;
        }
        StoredRecord.JobRecord jobRecord = cancelledRecord(entry);
        Transaction transaction = new Transaction(
                List.of(new Transaction.Condition(StoreKeys.job(id), entry.version())),
                List.of(new Transaction.Write(StoreKeys.job(id), jobRecord, 0)));
        store.transaction(
                transaction,
                owner.onReply(r -> new UsersActor.CancellationWritten(r, request, jobRecord, id, conflicts)));
    }

    /**
     * Returns the record of the cancelled job. It keeps the job's specification, because a leader that finds tasks of the job has to count their
     * resources against the limit of their team. A specification that was accepted under a larger value limit of the store, and exceeds the
     * present one, is reduced to the fields that placement needs.
     */
    private StoredRecord.JobRecord cancelledRecord(JobCache.Entry entry) {
        StoredRecord.JobRecord openRecord = entry.record();
        boolean isCheckedAgainstArchive = jobCache.archiveManifest() != null;
        StoredRecord.JobRecord fullRecord = new StoredRecord.JobRecord(
                        JobState.CANCELLED,
                        openRecord.spec().withDependencies(List.of()),
                        openRecord.submittedWall(),
                        openRecord.taskCount())
                .withCheckedAgainstArchive(isCheckedAgainstArchive);
        return StoreCodec.encodedBytes(fullRecord) <= settings.maxWritableValueBytes()
                ? fullRecord
                : new StoredRecord.JobRecord(
                                JobState.CANCELLED,
                                openRecord.spec().withPlacementFieldsOnly(),
                                openRecord.submittedWall(),
                                openRecord.taskCount())
                        .withCheckedAgainstArchive(isCheckedAgainstArchive);
    }

    /** Handles the store's answer to the transaction that cancels a job; retries up to three times after a conflict. */
    void cancellationWritten(UsersActor.CancellationWritten message) {
        Reply reply = message.reply();
        String id = message.id();
        if (reply.ok()) {
            try {
                long version = StoreCodec.revision(reply.body());
                refresher.apply(id, message.jobRecord(), version);
                leaderActor.tell(
                        new LeaderMessage.CancellationConfirmed(new CancellationDigest.Cancelled(id, version)));
                message.request().answer(200, JobCodec.accepted(id, JobCodec.PublicState.CANCELLED));
                return;
            } catch (MalformedException e) {
                LOG.error("malformed answer to the transaction of a cancellation: {}", e.getMessage());
            }
        }
        if (reply.status() == 409 && message.conflicts() < 3) {
            cancel(message.request(), id, message.conflicts() + 1);
        } else {
            owner.answerWriteFailure(message.request(), reply);
        }
    }
}
