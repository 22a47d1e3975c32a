package io.micatide.model;

import java.util.List;

/**
 * One of the requests in which a leader sends a snapshot of its hints to a standby, whole or as a difference to an earlier snapshot.
 *
 * @param fencingToken of the leader's term
 * @param number of the snapshot, rising within a term
 * @param base number of the snapshot that this one is a difference to, 0 for a whole one
 * @param index of this request among those of the snapshot, from 0
 * @param parts number of requests of the snapshot
 * @param hints that are new or changed
 * @param removedNames names of hints that no longer hold; empty for a whole snapshot
 */
public record HintBatch(
        long fencingToken, long number, long base, int index, int parts, List<Hint> hints, List<String> removedNames) {}
