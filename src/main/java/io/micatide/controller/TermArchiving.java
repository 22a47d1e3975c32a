package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.model.Micros;
import io.micatide.model.Tuning;
import io.micatide.scheduler.Scheduler;
import io.micatide.store.StoredRecord;
import java.util.List;

/**
 * A term's link between the leader and its {@link ArchiverActor}: starts the archiver once all records are read, tells it which jobs are
 * finished, and passes on the writes that scheduling leaves over. Part of the leader's actor.
 */
final class TermArchiving {
    /** How often finished jobs are looked for; they can wait, and finding them goes over all open jobs. */
    private static final long SEARCH_INTERVAL_MICROS = Micros.SECOND;
    /** A few finished jobs are archived after so long, lest the last of a busy day keep their records. */
    private static final long MAX_SMALL_BATCH_WAIT_MICROS = 600 * Micros.SECOND;

    private final LeaderActor owner;
    private final Tuning tuning;
    private final Scheduler scheduler;
    private final UsersActor users;
    private final ArchiverActor archiver;
    private long manifestVersion;
    /** Null until there is an archive. */
    private StoredRecord.ArchiveManifest manifest;

    private boolean areRecordsLoaded;
    private boolean isArchiving;
    private long lastSearchMicros;
    private long smallBatchSinceMicros;

    TermArchiving(LeaderActor owner, Tuning tuning, Scheduler scheduler, UsersActor users, ArchiverActor archiver) {
        this.owner = owner;
        this.tuning = tuning;
        this.scheduler = scheduler;
        this.users = users;
        this.archiver = archiver;
        this.smallBatchSinceMicros = owner.now();
    }

    /** All records that a leader needs are read. */
    void recordsLoaded() {

        areRecordsLoaded = true;
        startIfReady();
    }

    /** The term is over. */
    void endTerm() {
        archiver.tell(new ArchiverActor.EndTerm());
        isArchiving = false;
    }

    /** The manifest was read, or has a new version. */
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

    /** Called every so often. */
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

    /** The answer to a search for finished jobs. Those whose tasks may still run are left for a later one. */
    void finishedJobsFound(TermMessage.ArchivableJobsFound message) {
        if (!isArchiving) {
            return;
        }
        List<Archiver.ArchivableJob> settled = message.jobs().stream()
                .filter(job -> job.outcome() == null || scheduler.mayBeArchived(job.id()))
                .toList();
        Archiver.BatchPolicy policy = chooseBatchPolicy(settled.size());

        archiver.tell(
                new ArchiverActor.CandidatesFound(message.fencingToken(), settled, message.manifestVersion(), policy));
    }

    private Archiver.BatchPolicy chooseBatchPolicy(int jobs) {
        long nowMicros = owner.now();
        boolean hasWaited = nowMicros - smallBatchSinceMicros >= MAX_SMALL_BATCH_WAIT_MICROS;
        if (hasWaited || jobs == 0 || jobs >= tuning.archiveBatchSize()) {
            smallBatchSinceMicros = nowMicros;
        }
        return hasWaited ? Archiver.BatchPolicy.ANY_SIZE : Archiver.BatchPolicy.FULL_BATCHES;
    }
}
