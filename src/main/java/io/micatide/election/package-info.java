/**
 * Leader election, and the conditions under which a leader may answer workers: the leader record with its lease and fencing token,
 * connectivity to workers and to the store, and the time up to which all cancellations are known. Performs no I/O; owned by the leader's
 * actor. Depends on {@code model} only.
 */
package io.micatide.election;
