package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.model.Micros;
import io.micatide.model.Tuning;
import io.micatide.scheduler.Scheduler;
import io.micatide.store.StoredRecord;
import java.util.List;

/**
 * Connects the leader to its {@link ArchiverActor} during one term: starts the archiver once all records are loaded, sends it the finished
 * jobs, and passes on the writes that scheduling leaves over. Part of the leader's actor.
 */
final class TermArchiving {
    /** Time between searches for finished jobs; a search is not urgent, and it iterates over all open jobs. */
    private static final long SEARCH_INTERVAL_MICROS = Micros.SECOND;
    /** Time after which a batch that is not full is archived too, so that the last jobs of a busy day do not keep their records. */
    private static final long MAX_SMALL_BATCH_WAIT_MICROS = 600 * Micros.SECOND;

    private final LeaderActor owner;
    private final Tuning tuning;
    private final Scheduler scheduler;
    private final UsersActor users;
    private final ArchiverActor archiver;
    /** Version of {@link #manifest}, 0 until there is an archive. */
    private long manifestVersion;

    /** Null until there is an archive. */
    private StoredRecord.ArchiveManifest manifest;

    private boolean areRecordsLoaded;
    /** Whether the archiver was started in this term. */
    private boolean isArchiving;

    private long lastSearchMicros;
    /** Time at which the current wait for a full batch began. */
    private long smallBatchSinceMicros;

    TermArchiving(LeaderActor owner, Tuning tuning, Scheduler scheduler, UsersActor users, ArchiverActor archiver) {
        this.owner = owner;
        this.tuning = tuning;
        this.scheduler = scheduler;
        this.users = users;
        this.archiver = archiver;
        this.smallBatchSinceMicros = owner.now();
    }

    /** Marks all records that a leader needs as loaded. */
    void recordsLoaded() {
        areRecordsLoaded = true;
        startIfReady();
    }

    /** Stops archiving at the end of the term. */
    void endTerm() {
        archiver.tell(new ArchiverActor.EndTerm());
        isArchiving = false;
    }

    /** Applies the archive manifest that was read, for the first time or with a new version. */
    void manifestObserved(long version, StoredRecord.ArchiveManifest observed) {
        manifestVersion = version;
        manifest = observed;
        scheduler.archiveEnabled();
        startIfReady();
    }

    private void startIfReady() {
        if (tuning.archiveEnabled() && areRecordsLoaded && manifest != null && !isArchiving) {
            isArchiving = true;
            archiver.tell(new ArchiverActor.StartTerm(scheduler.fencingToken(), manifest, manifestVersion));
        }
    }

    /** Requests a search for finished jobs when one is due, and sends the archiver its write budget; called on each tick of the leader. */
    void tick(long nowMicros) {
        if (!isArchiving) {
            return;
        }
        long fencingToken = scheduler.fencingToken();
        if (nowMicros - lastSearchMicros >= SEARCH_INTERVAL_MICROS) {
            lastSearchMicros = nowMicros;
            users.tell(new UsersActor.FindArchivableJobs(fencingToken));
        }
        archiver.tell(new ArchiverActor.WriteBudget(fencingToken, scheduler.spareWriteBudget(nowMicros)));
    }

    /** Handles the result of a search for finished jobs. Jobs whose tasks may still run are left to a later search. */
    void finishedJobsFound(TermMessage.ArchivableJobsFound message) {
        if (!isArchiving) {
            return;
        }
        List<Archiver.ArchivableJob> archivable = message.jobs().stream()
                .filter(job -> job.outcome() == null || scheduler.mayBeArchived(job.id()))
                .toList();
        Archiver.BatchPolicy policy = chooseBatchPolicy(archivable.size());
        archiver.tell(new ArchiverActor.CandidatesFound(
                message.fencingToken(), archivable, message.manifestVersion(), policy));
    }

    /** Chooses full batches, or a batch of any size once {@link #MAX_SMALL_BATCH_WAIT_MICROS} have passed without a full one. */
    private Archiver.BatchPolicy chooseBatchPolicy(int jobCount) {
        long nowMicros = owner.now();
        boolean hasWaitedLongEnough = nowMicros - smallBatchSinceMicros >= MAX_SMALL_BATCH_WAIT_MICROS;
        if (hasWaitedLongEnough || jobCount == 0 || jobCount >= tuning.archiveBatchSize()) {
            smallBatchSinceMicros = nowMicros;
        }
        return hasWaitedLongEnough ? Archiver.BatchPolicy.ANY_SIZE : Archiver.BatchPolicy.FULL_BATCHES;
    }
}
