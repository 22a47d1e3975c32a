package io.micatide.controller;

import io.micatide.jobs.JobCache;
import io.micatide.model.CancellationDigest;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.store.StoredRecord;
import java.util.List;

/**
 * A message to the {@link LeaderActor}. Messages are grouped by the class that handles them. A message that concerns one term only is a
 * {@link TermMessage}, a message that concerns standbys is a {@link StandbyMessage}.
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
    /** The periodic work of a leader is due. */
    record TickDue() implements LeaderMessage {}

    /** The periodic check of the election, the lease and the rollout, or during a shutdown of its next step, is due. */
    record LeaseTickDue() implements LeaderMessage {}

    /** A worker sent a heartbeat; the request has to be answered. */
    record HeartbeatReceived(Request request) implements LeaderMessage {}

    /**
     * The job cache holds all changes up to the given revision of the store.
     *
     * @param requestSentMicros the time on the steady clock at which the read was sent
     * @param revision the revision of the store up to which the job cache is complete
     */
    record StoreRead(long requestSentMicros, long revision) implements LeaderMessage {}

    /** This process is to shut down; {@code onCompleted} is run once it has given up leadership and its lease. */
    record ShutdownRequested(Runnable onCompleted) implements LeaderMessage {}

    /** The successor answered the request to catch up and take over, or the request failed. */
    record HandoverAnswered(Reply reply) implements LeaderMessage {}

    // ---- the leader record and its lease

    /** A message about the leader record or the lease to which it is attached; handled by {@link LeaderLease}. */
    sealed interface LeaseMessage extends LeaderMessage {}

    /** The store answered a read of the leader record. */
    record LeaderRecordRead(Reply reply) implements LeaseMessage {}

    /** The store answered the request for a lease that was sent at {@code requestSentMicros}. */
    record LeaseGranted(Reply reply, long requestSentMicros) implements LeaseMessage {}

    /** The store answered the transaction that writes the leader record. */
    record LeadershipClaimed(Reply reply) implements LeaseMessage {}

    /** The store answered the renewal that was sent at {@code requestSentMicros}. */
    record LeaseRenewed(Reply reply, long requestSentMicros) implements LeaseMessage {}

    /** The watch of the leader record ended: with changes, without changes or with an error. */
    record LeaderRecordObserved(Reply reply) implements LeaseMessage {}

    /** The watch of the leader record may be opened again after an error. */
    record LeaderWatchDue() implements LeaderMessage {}

    // ---- records that the job cache has read

    /** A record in the job cache is new or has changed. Handled by the current term, dropped if there is none. */
    sealed interface RecordObserved extends LeaderMessage {}

    /** A job is new or has changed. */
    record JobObserved(JobCache.View view) implements RecordObserved {}

    /** The open and the cancelled jobs, as of a read that began after the claim of the term. */
    record JobsObserved(List<JobCache.View> jobs) implements RecordObserved {}

    /** The layout record was read; it states that every controller can read this layout of the store. */
    record LayoutObserved(long version, StoredRecord.Layout layout) implements RecordObserved {}

    /** The manifest of the archive is new or has changed. */
    record ArchiveManifestObserved(long version, StoredRecord.ArchiveManifest manifest) implements RecordObserved {}

    /** The jobs with these ids are cancelled; sent without waiting until the job cache is complete. */
    record CancellationsObserved(List<String> jobs) implements RecordObserved {}

    // ---- rollout of features

    /** A message about this controller's part in a rollout; handled by {@link RolloutParticipant}. */
    sealed interface RolloutMessage extends LeaderMessage {}

    /** The job cache holds the stages of the features as of the given version of their record. */
    record FeatureStagesObserved(long version, StoredRecord.FeatureStages stages) implements RolloutMessage {}

    /** The store answered a read of the stages of the features. */
    record FeatureStagesRead(Reply reply) implements RolloutMessage {}

    /** The store answered a read of this controller's registration. */
    record RegistrationRead(Reply reply) implements RolloutMessage {}

    /** The store answered a write of this controller's registration. */
    record RegistrationWritten(Reply reply) implements RolloutMessage {}

    // ---- other controllers

    /** A message that concerns the exchange with peers; handled by {@link PeerExchange}. */
    sealed interface PeerMessage extends LeaderMessage {}

    /** The leader sent its status, or a peer that has not yet observed the end of its term. */
    record PeerStatusReceived(Request request) implements PeerMessage {}

    /** A peer answered the status that this controller had sent as leader at {@code requestSentMicros}. */
    record PeerStatusAnswered(Reply reply, long fencingToken, int peer, long requestSentMicros)
            implements PeerMessage {}

    /** A peer that could claim the leader record, but is cold or receives no heartbeats, requests the readiness of this controller. */
    record ReadinessRequested(Request request) implements PeerMessage {}

    /**
     * The jobs of a peer's cancellation digest were entered into the job cache.
     *
     * @param requestSentMicros the time at which the status was sent that the digest answers
     * @param receivedMicros the time at which the digest was received
     */
    record DigestRecorded(int peer, CancellationDigest digest, long requestSentMicros, long receivedMicros)
            implements PeerMessage {}

    /** This controller has confirmed the cancellation of a job to a user. */
    record CancellationConfirmed(CancellationDigest.Cancelled job) implements PeerMessage {}

    /** A peer reports cancellations that it has confirmed to users. */
    record PeerCancellationsReceived(Request request) implements PeerMessage {}
}
