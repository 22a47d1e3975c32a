package io.micatide.controller;

/**
 * The parts of one {@link LeaderTerm}, whose lifetime they share.
 *
 * @param loader loads what a new leader has to know before its first decision
 * @param committer writes the scheduler's decisions to the store
 * @param cloudCalls sends the scheduler's requests to the cloud provider
 * @param rollout advances the stages of features and the layout of the store
 * @param archiving offers finished jobs to the archiver
 * @param learnedState stores what the scheduler has learned
 * @param announcer announces the new fencing token to workers
 */
record TermComponents(
        FailoverLoader loader,
        LedgerCommitter committer,
        CloudCalls cloudCalls,
        RolloutDriver rollout,
        TermArchiving archiving,
        LearnedStateWriter learnedState,
        TermAnnouncer announcer) {}
