package io.micatide.controller;

import io.micatide.jobs.JobCache;
import io.micatide.model.CancellationDigest;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.store.StoredRecord;
import java.util.List;

/**
 * What happens to the {@link LeaderActor}. Messages are grouped by the class that handles them; what concerns one term only is a {@link
 * TermMessage}, what concerns standbys a {@link StandbyMessage}.
 */
sealed interface LeaderMessage
        permits LeaderMessage.TickDue,
                LeaderMessage.LeaseTickDue,
                LeaderMessage.HeartbeatReceived,
                LeaderMessage.StoreRead,
                LeaderMessage.ShutdownRequested,
                LeaderMessage.HandoverAnswered,
                LeaderMessage.LeaseMessage,
                LeaderMessage.LeaderWatchDue,
                LeaderMessage.RecordObserved,
                LeaderMessage.RolloutMessage,
                LeaderMessage.PeerMessage,
                StandbyMessage,
                TermMessage {
    /** It is time for the regular work of a leader. */
    record TickDue() implements LeaderMessage {}

    /** It is time to look after the lease and the leader record. */
    record LeaseTickDue() implements LeaderMessage {}

    /** A worker sent a heartbeat, which awaits its answer. */
    record HeartbeatReceived(Request request) implements LeaderMessage {}

    /**
     * The job cache holds all changes up to a revision of the store.
     *
     * @param requestSentMicros when the read was sent, on the steady clock
     */
    record StoreRead(long requestSentMicros, long revision) implements LeaderMessage {}

    /** This process was told to end; {@code onCompleted} runs once others can go on without it. */
    record ShutdownRequested(Runnable onCompleted) implements LeaderMessage {}

    /** The designated standby answered the request to take over. */
    record HandoverAnswered(Reply reply) implements LeaderMessage {}

    // ---- the leader record and its lease

    /** Concerns the leader record or the lease that it is attached to; handled by {@link LeaderLease}. */
    sealed interface LeaseMessage extends LeaderMessage {}

    /** The store answered a read of the leader record. */
    record LeaderRecordRead(Reply reply) implements LeaseMessage {}

    /** The store answered the request for a lease that was sent at {@code askedMicros}. */
    record LeaseGranted(Reply reply, long requestSentMicros) implements LeaseMessage {}

    /** The store answered the transaction that writes the leader record. */
    record LeadershipClaimed(Reply reply) implements LeaseMessage {}

    /** The store answered the renewal that was sent at {@code askedMicros}. */
    record LeaseRenewed(Reply reply, long requestSentMicros) implements LeaseMessage {}

    /** The watch of the leader record ended with changes, without any or with an error. */
    record LeaderRecordObserved(Reply reply) implements LeaseMessage {}

    /** The watch of the leader record may be opened again after an error. */
    record LeaderWatchDue() implements LeaderMessage {}

    // ---- records that the job cache has read

    /** A record in the job cache is new or has changed; of interest to a term only. */
    sealed interface RecordObserved extends LeaderMessage {}

    /** A job is new or has changed. */
    record JobObserved(JobCache.View view) implements RecordObserved {}

    /** The open and the cancelled jobs, by a read that began after the term's claim. */
    record JobsObserved(List<JobCache.View> jobs) implements RecordObserved {}

    /** The store says that every controller reads this layout. */
    record LayoutObserved(long version, StoredRecord.Layout layout) implements RecordObserved {}

    /** The archive's manifest is new or has changed. */
    record ArchiveManifestObserved(long version, StoredRecord.ArchiveManifest manifest) implements RecordObserved {}

    /** These jobs are cancelled, as known before the cache is complete. */
    record CancellationsObserved(List<String> jobs) implements RecordObserved {}

    // ---- rollout of features

    /** Concerns this controller's part in a rollout; handled by {@link RolloutParticipant}. */
    sealed interface RolloutMessage extends LeaderMessage {}

    /** The job cache holds the stages of the features at this version. */
    record FeatureStagesObserved(long version, StoredRecord.FeatureStages stages) implements RolloutMessage {}

    /** The store answered a read of the stages of the features. */
    record FeatureStagesRead(Reply reply) implements RolloutMessage {}

    /** The store answered a read of this controller's registration. */
    record RegistrationRead(Reply reply) implements RolloutMessage {}

    /** The store answered a write of this controller's registration. */
    record RegistrationWritten(Reply reply) implements RolloutMessage {}

    // ---- other controllers

    /** Concerns what controllers tell each other; handled by the exchange with peers. */
    sealed interface PeerMessage extends LeaderMessage {}

    /** The leader, or a controller that still takes itself for it, sent its status. */
    record PeerStatusReceived(Request request) implements PeerMessage {}

    /** A peer answered the status that this controller sent as leader at {@code askedMicros}. */
    record PeerStatusAnswered(Reply reply, long fencingToken, int peer, long requestSentMicros)
            implements PeerMessage {}

    /** A peer that has just started asks whether this controller would be the better leader. */
    record ReadinessRequested(Request request) implements PeerMessage {}

    /** The jobs of a peer's cancellation digest are in the job cache. */
    record DigestRecorded(int peer, CancellationDigest digest, long requestSentMicros, long receivedMicros)
            implements PeerMessage {}

    /** A user of this controller was told that a job is cancelled. */
    record CancellationConfirmed(CancellationDigest.Cancelled job) implements PeerMessage {}

    /** A peer told one of its users that jobs are cancelled. */
    record PeerCancellationsReceived(Request request) implements PeerMessage {}
}
