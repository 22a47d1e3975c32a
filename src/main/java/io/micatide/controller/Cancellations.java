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
    private final StoreClient state;
    private final JobCache directory;
    private final JobCacheRefresher rows;
    private LeaderActor own;

    Cancellations(UsersActor owner, Settings settings, StoreClient state, JobCache directory, JobCacheRefresher rows) {
        this.owner = owner;
        this.settings = settings;
        this.state = state;
        this.directory = directory;
        this.rows = rows;
    }

    /** Who tells the leader what is confirmed here. */
    void belongsTo(LeaderActor told) {
        own = told;
    }

    void cancel(Request request, String id, int tries) {
        if (!JobCodec.isId(id)) {
            request.answer(404, UsersActor.NO_SUCH_JOB);
            return;
        }
        JobCache.Entry entry = directory.get(id);
        if (entry == null || (tries > 0 && !directory.state(id).isFinal())) {
            rows.whenFresh(
                    request,
                    () -> owner.locate(request, id, 0, new KnownJobReply(owner, request, id) {
                        @Override
                        public void inCopy() {
                            tryCancel(request, id, tries);
                        }

                        @Override
                        public void nowhere() {
                            request.answer(404, UsersActor.NO_SUCH_JOB);
                        }
                    }));
        } else {
            tryCancel(request, id, tries);
        }
    }

    private void tryCancel(Request request, String id, int tries) {
        JobCache.Entry entry = directory.get(id);
        if (directory.state(id).isFinal()) {
            request.answer(200, JobCodec.accepted(id, owner.standing(entry)));
            return;
        }
        StoredRecord.JobRecord row = cancelledRow(entry);
        Transaction put = new Transaction(
                List.of(new Transaction.Condition(StoreKeys.job(id), entry.version())),
                List.of(new Transaction.Write(StoreKeys.job(id), row, 0)));
        state.transaction(put, owner.answer(r -> new UsersActor.Cancelled(r, request, row, id, tries)));
    }

    /**
     * The description stays: a leader that finds tasks of the job has to know what they take of their team's limit. What was
     * accepted under a larger limit of the state service keeps only that.
     */
    private StoredRecord.JobRecord cancelledRow(JobCache.Entry entry) {
        StoredRecord.JobRecord open = entry.record();
        boolean checked = directory.archiveManifest() != null;
        StoredRecord.JobRecord whole = new StoredRecord.JobRecord(
                        JobState.CANCELLED,
                        open.spec().withDependencies(List.of()),
                        open.submittedWall(),
                        open.taskCount())
                .withCheckedAgainstArchive(checked);
        return StoreCodec.size(whole) <= settings.maxWritableValueBytes()
                ? whole
                : new StoredRecord.JobRecord(
                                JobState.CANCELLED,
                                open.spec().withPlacementFieldsOnly(),
                                open.submittedWall(),
                                open.taskCount())
                        .withCheckedAgainstArchive(checked);
    }

    void cancelled(UsersActor.Cancelled message) {
        Reply reply = message.reply();
        String id = message.id();
        if (reply.ok()) {
            try {
                long version = StoreCodec.revision(reply.body());
                rows.apply(id, message.row(), version);
                own.tell(new LeaderMessage.CancellationConfirmed(new CancellationDigest.Cancelled(id, version)));
                message.request().answer(200, JobCodec.accepted(id, JobCodec.Standing.CANCELLED));
                return;
            } catch (MalformedException e) {
                LOG.error("transaction answer: {}", e.getMessage());
            }
        }
        if (reply.status() == 409 && message.tries() < 3) {
            cancel(message.request(), id, message.tries() + 1);
        } else {
            owner.notWritten(message.request(), reply);
        }
    }
}
