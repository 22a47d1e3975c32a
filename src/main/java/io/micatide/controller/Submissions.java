package io.micatide.controller;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.jobs.DependencyAdmission;
import io.micatide.jobs.JobAdmission;
import io.micatide.jobs.JobCache;
import io.micatide.jobs.JobMemoryLimit;
import io.micatide.jobs.JobMemoryUsage;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.net.StoreClient;
import io.micatide.protocol.JobCodec;
import io.micatide.protocol.JobRecordSplitter;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.JobOutcome;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts submitted jobs: validates the request, looks up the job and its dependencies in the job cache and the archive, and writes the job's
 * records. Part of the users' actor.
 */
final class Submissions {
    /**
     * A submission of a job that was found neither in the job cache nor in the archive.
     *
     * @param archiveVersion version of the archive manifest by which the job was not archived, 0 if there was no manifest
     * @param conflicts how often the submission was retried because the archive manifest or the layout record had changed
     */
    record Submission(Request request, JobSpec spec, long archiveVersion, int conflicts) {}

    /**
     * A submission whose dependencies are looked up in the archive, one after the other.
     *
     * @param remaining names of the dependencies still to be looked up
     * @param archived outcomes of the dependencies that were found in the archive, by name
     */
    record DependencyLookup(Submission submission, List<String> remaining, Map<String, JobOutcome> archived) {}

    private static final Logger LOG = LoggerFactory.getLogger(UsersActor.class);
    private static final byte[] UPGRADING =
            Json.error("awaits", "awaits: not yet, a controller may still be of a version that does not know it");
    private static final int UPGRADING_RETRY_S = 2;
    private static final byte[] JOB_MEMORY_FULL = Json.error(null, "no room for the job until others have ended");
    private static final int JOB_MEMORY_FULL_RETRY_S = 5;
    private static final long MEMORY_FULL_LOG_INTERVAL_MICROS = 10 * Micros.SECOND;

    private final UsersActor owner;
    private final Settings settings;
    private final StoreClient store;
    private final ArchiveReader archiveReader;
    private final JobCache jobCache;
    private final JobCacheRefresher refresher;
    private final JobMemoryLimit memoryLimit;
    private long lastMemoryFullLogMicros = Long.MIN_VALUE / 2;

    Submissions(
            UsersActor owner,
            Settings settings,
            StoreClient store,
            ArchiveReader archiveReader,
            JobCache jobCache,
            JobCacheRefresher refresher,
            JobMemoryLimit memoryLimit) {
        this.owner = owner;
        this.settings = settings;
        this.store = store;
        this.archiveReader = archiveReader;
        this.jobCache = jobCache;
        this.refresher = refresher;
        this.memoryLimit = memoryLimit;
    }

    /** Handles a request to submit a job. */
    void submit(Request request) {
        JsonNode body;
        String id;
        try {
            body = Json.tree(request.body());
            id = JobCodec.id(body);
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
            return;
        }
        submit(request, body, id, 0);
    }

    private void submit(Request request, JsonNode body, String id, int conflicts) {
        if (jobCache.get(id) != null) {
            answerExistingJob(request, id);
            return;
        }
        JobSpec spec;
        try {
            spec = JobCodec.spec(body);
        } catch (MalformedException e) {
            refuse(request, id, 400, 0, Json.error(e.field(), e.getMessage()));
            return;
        }
        if (owner.machineTypes().isEmpty()) {
            refuse(request, id, 503, 1, Json.error(null, "the machine types are not known yet"));
            return;
        }
        String refusal = JobAdmission.refusalReason(spec, settings.teams(), settings.zones(), owner.machineTypes());
        if (refusal != null) {
            refuse(request, id, 422, 0, Json.error(null, refusal));
            return;
        }
        // The job cache may be outdated, and may be refreshed during the search of the archive. The write is therefore
        // conditional on the version of the manifest by which the archive is searched.
        long archiveVersion = jobCache.archiveVersion();
        owner.locate(request, id, 0, new KnownJobReply(owner, request, id) {
            @Override
            public void notFound() {
                Submission submission = new Submission(request, spec, archiveVersion, conflicts);
                if (spec.dependencies().isEmpty()) {
                    writeJob(
                            submission,
                            new StoredRecord.JobRecord(JobState.OPEN, spec, owner.wallClockMicros(), spec.taskCount()));
                } else {
                    submitDependent(submission);
                }
            }
        });
    }

    /**
     * Submits a job that depends on others. A dependency that the job cache lacks may just have been accepted by another controller, so the
     * submission is not refused for it before a read that began after the request arrived.
     */
    private void submitDependent(Submission submission) {
        Request request = submission.request();
        JobSpec spec = submission.spec();
        DependencyAdmission admission = DependencyAdmission.evaluate(spec, jobCache);
        if (admission instanceof DependencyAdmission.Accepted accepted) {
            writeJob(submission, accepted.toRecord(owner.wallClockMicros()));
            return;
        }
        refresher.afterRefresh(request, () -> {
            if (jobCache.get(spec.id()) != null) {
                request.answer(200, JobCodec.accepted(spec.id(), owner.standing(jobCache.get(spec.id()))));
                return;
            }
            List<String> remaining = new ArrayList<>();
            for (String dependency : spec.dependencies()) {
                if (jobCache.archiveManifest() != null && jobCache.get(dependency) == null) {
                    remaining.add(dependency);
                }
            }
            lookUpNextDependency(new DependencyLookup(submission, remaining, new HashMap<>()));
        });
    }

    private void lookUpNextDependency(DependencyLookup lookup) {
        if (!lookup.remaining().isEmpty()) {
            String dependency = lookup.remaining().remove(lookup.remaining().size() - 1);
            archiveReader.tell(new ArchiveReader.FindJob(
                    dependency, result -> owner.tell(new UsersActor.DependencyLocated(lookup, dependency, result))));
            return;
        }
        Request request = lookup.submission().request();
        DependencyAdmission admission =
                DependencyAdmission.evaluate(lookup.submission().spec(), jobCache, lookup.archived());
        if (admission instanceof DependencyAdmission.Accepted accepted) {
            writeJob(lookup.submission(), accepted.toRecord(owner.wallClockMicros()));
        } else if (admission instanceof DependencyAdmission.Refused refused) {
            request.answer(422, Json.error("awaits", refused.reason()));
        } else {
            request.answer(503, UPGRADING, UPGRADING_RETRY_S);
        }
    }

    /** Handles the result of the search of the archive for one dependency. */
    void dependencyLocated(UsersActor.DependencyLocated message) {
        DependencyLookup lookup = message.lookup();
        if (message.result() instanceof ArchiveReader.Archived archived) {
            lookup.archived().put(message.id(), archived.outcome());
            lookUpNextDependency(lookup);
        } else if (message.result() instanceof ArchiveReader.NotArchived) {
            lookUpNextDependency(lookup);
        } else if (message.result() instanceof ArchiveReader.ManifestOutdated) {
            retry(lookup.submission());
        } else {
            lookup.submission().request().answer(503, UsersActor.UNAVAILABLE, 1);
        }
    }

    private void writeJob(Submission submission, StoredRecord.JobRecord newRecord) {
        Request request = submission.request();
        String id = submission.spec().id();
        StoredRecord.JobRecord jobRecord = newRecord.withCheckedAgainstArchive(submission.archiveVersion() > 0);
        // The store rejects the transaction if the archive manifest has changed since the search, also if the
        // transaction arrives minutes late.
        List<Transaction.Condition> conditions = new ArrayList<>(List.of(
                new Transaction.Condition(StoreKeys.job(id), 0),
                new Transaction.Condition(StoreKeys.ARCHIVE_MANIFEST, submission.archiveVersion())));
        if (jobRecord.spec() != null && !jobRecord.spec().dependencies().isEmpty()) {
            // A leader of the previous version would start the job without waiting for its dependencies. The layout
            // record, by which every controller reads dependencies, must therefore be unchanged.
            conditions.add(new Transaction.Condition(StoreKeys.LAYOUT, jobCache.layoutVersion()));
        }
        // A write that the store would always reject is refused here, since the user would retry it in vain.
        Optional<List<Transaction.Write>> writes =
                JobRecordSplitter.split(id, jobRecord, settings.maxWritableValueBytes());
        if (writes.isEmpty()) {
            refuse(request, id, 400, 0, Json.error("body", "body: is too long to be kept"));
        } else if (writes.get().size() > settings.maxTransactionWrites()) {
            refuse(request, id, 400, 0, Json.error("awaits", "awaits: more names than can be kept with the job"));
        } else if (!memoryLimit.admits(id, jobRecord)) {
            refresher.afterRefresh(request, () -> memoryChecked(submission, jobRecord));
        } else {
            memoryLimit.reserve(id, jobRecord);
            refresher.jobWritten(JobMemoryUsage.estimateBytes(id, jobRecord));
            store.transaction(
                    new Transaction(conditions, writes.get()),
                    owner.onReply(r -> new UsersActor.SubmissionWritten(r, submission, jobRecord)));
        }
    }

    /**
     * Submits the job once more if there is memory for it by a read that began after the request arrived, otherwise refuses it. A
     * controller that nobody asked for a while does not know that other jobs have ended.
     */
    private void memoryChecked(Submission submission, StoredRecord.JobRecord jobRecord) {
        Request request = submission.request();
        String id = submission.spec().id();
        if (jobCache.get(id) != null || memoryLimit.admits(id, jobRecord)) {
            retry(submission);
        } else {
            logMemoryFull(submission.spec());
            answerUnlessAccepted(request, id, 429, JOB_MEMORY_FULL_RETRY_S, JOB_MEMORY_FULL);
        }
    }

    private void logMemoryFull(JobSpec spec) {
        long now = owner.now();
        if (now - lastMemoryFullLogMicros >= MEMORY_FULL_LOG_INTERVAL_MICROS) {
            lastMemoryFullLogMicros = now;
            LOG.warn(
                    "no memory for {} of team {}: jobs take some {} of {} KB, {} of them those of the team; {} dependencies",
                    spec.id(),
                    spec.team(),
                    jobCache.memoryUsage().totalBytes() >> 10,
                    memoryLimit.maxBytes() >> 10,
                    jobCache.memoryUsage().bytesOf(spec.team()) >> 10,
                    jobCache.dependencyEdges());
        }
    }

    /** Answers with the given error, or with 200 if a refreshed lookup shows that the job was accepted before. */
    private void refuse(Request request, String id, int status, int retryAfterSeconds, byte[] json) {
        refresher.afterRefresh(request, () -> answerUnlessAccepted(request, id, status, retryAfterSeconds, json));
    }

    private void answerUnlessAccepted(Request request, String id, int status, int retryAfterSeconds, byte[] json) {
        owner.locate(request, id, 0, new KnownJobReply(owner, request, id) {
            @Override
            public void notFound() {
                request.answer(status, json, retryAfterSeconds);
            }
        });
    }

    /** Handles the store's answer to the transaction that writes a job. */
    void submissionWritten(UsersActor.SubmissionWritten message) {
        String id = message.submission().spec().id();
        Request request = message.submission().request();
        Reply reply = message.reply();
        memoryLimit.release(id, message.jobRecord());
        if (reply.ok()) {
            try {
                refresher.apply(id, message.jobRecord(), StoreCodec.revision(reply.body()));
                request.answer(201, JobCodec.accepted(id, owner.standing(jobCache.get(id))));
                return;
            } catch (MalformedException e) {
                LOG.error("malformed answer to the transaction of a submission: {}", e.getMessage());
            }
        }
        if (reply.status() == 409) {
            writeConflicted(message);
        } else {
            owner.answerWriteFailure(request, reply);
        }
    }

    /** Answers for the existing job if the job's record exists by now; retries if the archive manifest or the layout record has changed. */
    private void writeConflicted(UsersActor.SubmissionWritten message) {
        Submission submission = message.submission();
        String id = submission.spec().id();
        try {
            if (!StoreCodec.failedKeys(message.reply().body()).contains(StoreKeys.job(id))) {
                retry(submission);
                return;
            }
        } catch (MalformedException e) {
            LOG.error("malformed answer to the transaction of a submission: {}", e.getMessage());
        }
        answerExistingJob(submission.request(), id);
    }

    private void retry(Submission submission) {
        Request request = submission.request();
        if (submission.conflicts() >= UsersActor.MAX_RETRIES) {
            request.answer(503, UsersActor.UNAVAILABLE, 1);
            return;
        }
        try {
            JsonNode body = Json.tree(request.body());
            refresher.afterRefresh(
                    request, () -> submit(request, body, submission.spec().id(), submission.conflicts() + 1));
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    private void answerExistingJob(Request request, String id) {
        JobCache.Entry entry = jobCache.get(id);
        if (entry != null && jobCache.state(id).isFinal()) {
            request.answer(200, JobCodec.accepted(id, owner.standing(entry)));
            return;
        }
        refresher.afterRefresh(
                request,
                () -> owner.locate(request, id, 0, new KnownJobReply(owner, request, id) {
                    @Override
                    public void notFound() {
                        request.answer(503, UsersActor.UNAVAILABLE, 1);
                    }
                }));
    }
}
