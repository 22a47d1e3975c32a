/**
 * Leader election and what a leader's right to answer workers rests on: the leader record with its lease and fencing token, connectivity
 * to workers and to the store, and the horizon up to which cancellations are known. Without input or output; owned by the leader's actor.
 * Depends on {@code model} alone.
 */
package io.micatide.election;
