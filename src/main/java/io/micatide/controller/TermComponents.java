package io.micatide.controller;

/**
 * The parts of one {@link LeaderTerm}; none of them outlives it.
 *
 * @param loader reads what a new leader has to know before its first decision
 * @param committer writes the scheduler's decisions to the store
 * @param cloudCalls sends the scheduler's requests to the cloud provider
 * @param rollout moves the stages of features and the layout of the store
 * @param archiving offers finished jobs to the archiver
 * @param learnedState stores what the scheduler has learned
 * @param announcer tells workers of the new fencing token
 */
record TermComponents(
        FailoverLoader loader,
        LedgerCommitter committer,
        CloudCalls cloudCalls,
        RolloutDriver rollout,
        TermArchiving archiving,
        LearnedStateWriter learnedState,
        TermAnnouncer announcer) {}
