package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.model.Micros;
import io.micatide.model.Tuning;
import io.micatide.scheduler.Scheduler;
import io.micatide.store.StoredRecord;
import java.util.List;

/** A term's part in the archive: begins to keep it once all is read, offers it what is over and tells it what the rate leaves. */
final class TermArchiving {
    private static final long SEARCH_INTERVAL_MICROS = Micros.SECOND;
    /** A few finished jobs are archived after so long, lest the last of a busy day keep their rows. */
    private static final long SMALL_BATCH_MICROS = 600 * Micros.SECOND;

    private final LeaderActor owner;
    private final Tuning tuning;
    private final Scheduler scheduler;
    private final UsersActor users;
    private final ArchiverActor archiver;
    private long manifestVersion;
    private StoredRecord.ArchiveManifest manifest;
    private boolean recordsLoaded;
    private boolean archiving;
    private long searchedMicros;
    private long smallBatchSinceMicros;

    TermArchiving(LeaderActor owner, Tuning tuning, Scheduler scheduler, UsersActor users, ArchiverActor archivist) {
        this.owner = owner;
        this.tuning = tuning;
        this.scheduler = scheduler;
        this.users = users;
        this.archiver = archivist;
        this.smallBatchSinceMicros = owner.now();
    }

    /** All that a leader reads is whole. */
    void recordsLoaded() {
        recordsLoaded = true;
        startIfReady();
    }

    /** The term is over. */
    void endTerm() {
        archiver.tell(new ArchiverActor.EndTerm());
        archiving = false;
    }

    void manifestObserved(long version, StoredRecord.ArchiveManifest observed) {
        manifestVersion = version;
        manifest = observed;
        scheduler.archiveEnabled();
        startIfReady();
    }

    /** Once all is read and there is an archive, and if this controller is to keep it. */
    private void startIfReady() {
        if (tuning.archiveEnabled() && recordsLoaded && manifest != null && !archiving) {
            archiving = true;
            archiver.tell(new ArchiverActor.StartTerm(scheduler.fencingToken(), manifest, manifestVersion));
        }
    }

    /** Not at every tick: what is over can wait, and finding it goes over all open jobs. */
    void tick(long now) {
        if (!archiving) {
            return;
        }
        long fencingToken = scheduler.fencingToken();
        if (now - searchedMicros >= SEARCH_INTERVAL_MICROS) {
            searchedMicros = now;
            users.tell(new UsersActor.FindEnded(fencingToken));
        }
        archiver.tell(new ArchiverActor.WriteBudget(fencingToken, scheduler.spareWriteBudget(now)));
    }

    void finishedJobsFound(TermMessage.EndedFound message) {
        if (!archiving) {
            return;
        }
        List<Archiver.ArchivableJob> settled = message.ended().stream()
                .filter(each -> each.outcome() == null || scheduler.mayBeArchived(each.id()))
                .toList();
        long now = owner.now();
        boolean anyway = now - smallBatchSinceMicros >= SMALL_BATCH_MICROS;
        if (anyway || settled.isEmpty() || settled.size() >= tuning.archiveBatchSize()) {
            smallBatchSinceMicros = now;
        }
        archiver.tell(
                new ArchiverActor.CandidatesFound(message.fencingToken(), settled, message.copyOfVersion(), anyway));
    }
}
