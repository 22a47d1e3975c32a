package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.model.Micros;
import io.micatide.model.Tuning;
import io.micatide.scheduler.Scheduler;
import io.micatide.store.StoredRecord;
import java.util.List;

/** A term's part in the archive: begins to keep it once all is read, offers it what is over and tells it what the rate leaves. */
final class TermArchiving {
    private static final long ENDED_MICROS = Micros.SECOND;
    /** A few finished jobs are archived after so long, lest the last of a busy day keep their rows. */
    private static final long FEW_MICROS = 600 * Micros.SECOND;

    private final LeaderActor owner;
    private final Tuning tuning;
    private final Scheduler scheduler;
    private final UsersActor users;
    private final ArchiverActor archivist;
    private long historyVersion;
    private StoredRecord.ArchiveManifest history;
    private boolean loaded;
    private boolean archiving;
    private long endedAskedMicros;
    private long fewSinceMicros;

    TermArchiving(LeaderActor owner, Tuning tuning, Scheduler scheduler, UsersActor users, ArchiverActor archivist) {
        this.owner = owner;
        this.tuning = tuning;
        this.scheduler = scheduler;
        this.users = users;
        this.archivist = archivist;
        this.fewSinceMicros = owner.now();
    }

    /** All that a leader reads is whole. */
    void loaded() {
        loaded = true;
        archive();
    }

    /** The term is over. */
    void end() {
        archivist.tell(new ArchiverActor.End());
        archiving = false;
    }

    void historySeen(long version, StoredRecord.ArchiveManifest manifest) {
        historyVersion = version;
        history = manifest;
        scheduler.archiveEnabled();
        archive();
    }

    /** Once all is read and there is an archive, and if this controller is to keep it. */
    private void archive() {
        if (tuning.archiveEnabled() && loaded && history != null && !archiving) {
            archiving = true;
            archivist.tell(new ArchiverActor.Begin(scheduler.fencingToken(), history, historyVersion));
        }
    }

    /** Not at every tick: what is over can wait, and finding it goes over all open jobs. */
    void tick(long now) {
        if (!archiving) {
            return;
        }
        long fencingToken = scheduler.fencingToken();
        if (now - endedAskedMicros >= ENDED_MICROS) {
            endedAskedMicros = now;
            users.tell(new UsersActor.FindArchivableJobs(fencingToken));
        }
        archivist.tell(new ArchiverActor.Spare(fencingToken, scheduler.spareWriteBudget(now)));
    }

    void endedFound(TermMessage.EndedFound message) {
        if (!archiving) {
            return;
        }
        List<Archiver.Ended> settled = message.ended().stream()
                .filter(each -> each.outcome() == null || scheduler.mayBeArchived(each.id()))
                .toList();
        long now = owner.now();
        boolean anyway = now - fewSinceMicros >= FEW_MICROS;
        if (anyway || settled.isEmpty() || settled.size() >= tuning.archiveBatchSize()) {
            fewSinceMicros = now;
        }
        archivist.tell(new ArchiverActor.Offer(message.fencingToken(), settled, message.copyOfVersion(), anyway));
    }
}
