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

/** Cancels jobs: one conditional put on the job's own row. Part of the users' actor. */
final class Cancellations {
    private static final Logger LOG = LoggerFactory.getLogger(UsersActor.class);

    private final UsersActor owner;
    private final Settings settings;
    private final StoreClient store;
    private final JobCache jobCache;
    private final JobCacheRefresher refresher;
    private LeaderActor leaderActor;

    Cancellations(UsersActor owner, Settings settings, StoreClient state, JobCache directory, JobCacheRefresher rows) {
        this.owner = owner;
        this.settings = settings;
        this.store = state;
        this.jobCache = directory;
        this.refresher = rows;
    }

    /** Who tells the leader what is confirmed here. */
    void attachLeaderActor(LeaderActor told) {
        leaderActor = told;
    }

    void cancel(Request request, String id, int tries) {
        if (!JobCodec.isId(id)) {
            request.answer(404, UsersActor.NO_SUCH_JOB);
            return;
        }
        JobCache.Entry entry = jobCache.get(id);
        if (entry == null || (tries > 0 && !jobCache.state(id).isFinal())) {
            refresher.afterRefresh(
                    request,
                    () -> owner.locate(request, id, 0, new KnownJobReply(owner, request, id) {
                        @Override
                        public void foundInCache() {
                            writeCancellation(request, id, tries);
                        }

                        @Override
                        public void notFound() {
                            request.answer(404, UsersActor.NO_SUCH_JOB);
                        }
                    }));
        } else {
            writeCancellation(request, id, tries);
        }
    }

    private void writeCancellation(Request request, String id, int tries) {
        JobCache.Entry entry = jobCache.get(id);
        if (jobCache.state(id).isFinal()) {
            request.answer(200, JobCodec.accepted(id, owner.standing(entry)));
            return;
        }
        StoredRecord.JobRecord row = cancelledRecord(entry);
        Transaction put = new Transaction(
                List.of(new Transaction.Condition(StoreKeys.job(id), entry.version())),
                List.of(new Transaction.Write(StoreKeys.job(id), row, 0)));
        store.transaction(put, owner.onReply(r -> new UsersActor.CancellationWritten(r, request, row, id, tries)));
    }

    /**
     * The description stays: a leader that finds tasks of the job has to know what they take of their team's limit. What was
     * accepted under a larger limit of the state service keeps only that.
     */
    private StoredRecord.JobRecord cancelledRecord(JobCache.Entry entry) {
        StoredRecord.JobRecord open = entry.record();
        boolean checked = jobCache.archiveManifest() != null;
        StoredRecord.JobRecord whole = new StoredRecord.JobRecord(
                        JobState.CANCELLED,
                        open.spec().withDependencies(List.of()),
                        open.submittedWall(),
                        open.taskCount())
                .withCheckedAgainstArchive(checked);
        return StoreCodec.encodedBytes(whole) <= settings.maxWritableValueBytes()
                ? whole
                : new StoredRecord.JobRecord(
                                JobState.CANCELLED,
                                open.spec().withPlacementFieldsOnly(),
                                open.submittedWall(),
                                open.taskCount())
                        .withCheckedAgainstArchive(checked);
    }

    void cancellationWritten(UsersActor.CancellationWritten message) {
        Reply reply = message.reply();
        String id = message.id();
        if (reply.ok()) {
            try {
                long version = StoreCodec.revision(reply.body());
                refresher.apply(id, message.row(), version);
                leaderActor.tell(
                        new LeaderMessage.CancellationConfirmed(new CancellationDigest.Cancelled(id, version)));
                message.request().answer(200, JobCodec.accepted(id, JobCodec.PublicState.CANCELLED));
                return;
            } catch (MalformedException e) {
                LOG.error("transaction answer: {}", e.getMessage());
            }
        }
        if (reply.status() == 409 && message.tries() < 3) {
            cancel(message.request(), id, message.tries() + 1);
        } else {
            owner.answerWriteFailure(message.request(), reply);
        }
    }
}
