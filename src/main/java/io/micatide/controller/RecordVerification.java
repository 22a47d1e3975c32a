package io.micatide.controller;

import io.micatide.jobs.JobCache;
import io.micatide.model.Micros;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Searches the archive for jobs whose records were written by a previous version. These jobs may have been archived long ago, so they are neither
 * reported nor started before the result is known. Part of the users' actor.
 */
final class RecordVerification {
    private static final Logger LOG = LoggerFactory.getLogger(UsersActor.class);
    private static final long RETRY_MICROS = Micros.SECOND;

    private final UsersActor owner;
    private final ArchiveReader archiveReader;
    private final JobCache jobCache;
    private final Consumer<List<String>> changedJobs;
    private final Set<String> searchesInFlight = new HashSet<>();

    /** @param changedJobs receives the jobs whose state changed with a record that was verified */
    RecordVerification(
            UsersActor owner, ArchiveReader archiveReader, JobCache jobCache, Consumer<List<String>> changedJobs) {
        this.owner = owner;
        this.archiveReader = archiveReader;
        this.jobCache = jobCache;
        this.changedJobs = changedJobs;
    }

    /** Searches the archive for all records that are not verified yet. */
    void verifyRecords() {
        for (JobCache.Entry entry : jobCache.unverifiedEntries()) {
            if (searchesInFlight.add(entry.id())) {
                archiveReader.tell(new ArchiveReader.FindJob(
                        entry.id(), result -> owner.tell(new UsersActor.RecordVerified(entry.id(), result))));
            }
        }
    }

    /** Handles the result of a search by {@link #verifyRecords}, or schedules another one. */
    void recordVerified(UsersActor.RecordVerified message) {
        searchesInFlight.remove(message.id());
        if (message.result() instanceof ArchiveReader.Archived) {
            LOG.warn("{} has a row again although it is archived: a former version wrote it; it will go", message.id());
            jobCache.markStale(message.id());
        } else if (message.result() instanceof ArchiveReader.NotArchived) {
            changedJobs.accept(jobCache.markVerified(message.id()));
        } else {
            owner.tellLater(new UsersActor.VerificationDue(), RETRY_MICROS);
        }
    }
}
