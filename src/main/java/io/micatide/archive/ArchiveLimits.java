package io.micatide.archive;

/**
 * The limits that a leader's archive work keeps to.
 *
 * @param valueBytes largest value that the store takes, in bytes
 * @param transactionWrites most writes in a transaction, at least one
 * @param batchSize number of finished jobs that are worth a run of their own, which takes two writes; also the unit in which the sizes
 *     of runs are compared
 */
public record ArchiveLimits(int valueBytes, int transactionWrites, int batchSize) {}
