package io.micatide.archive;

/**
 * Limits that a leader's archiver respects.
 *
 * @param valueBytes largest value that the store accepts, in bytes
 * @param transactionWrites maximum number of writes in a transaction, at least one
 * @param batchSize number of finished jobs from which on a run of new jobs is started, which takes at least two writes; also the unit in
 *     which the sizes of runs are compared
 */
public record ArchiveLimits(int valueBytes, int transactionWrites, int batchSize) {}
