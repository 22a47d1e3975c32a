package io.micatide.model;

import java.util.List;

/**
 * One of the requests with which a leader sends a snapshot of its hints to a standby, either in full or as changes to an earlier snapshot.
 *
 * @param fencingToken of the leader's term
 * @param number of the snapshot, increasing within a term
 * @param base number of the snapshot to which the changes apply, 0 for a full snapshot
 * @param index of this request among those of the snapshot, from 0
 * @param parts number of requests of the snapshot
 * @param hints new or changed hints
 * @param removedKeys keys of hints to remove, made of kind and name since a job and a machine may have the same name; empty for a full snapshot
 */
public record HintBatch(
        long fencingToken, long number, long base, int index, int parts, List<Hint> hints, List<String> removedKeys) {}
