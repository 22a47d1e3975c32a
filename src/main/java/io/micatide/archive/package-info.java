/**
 * The archive of final states: how they are packed, found again, written and merged. Owns no sockets and no clock: what it wants read
 * or written it says as a step, and is told the outcome. Spoken to by {@code node} alone. Knows rows and keys of {@code core};
 * may not know wire words, users or the scheduler.
 */
package io.micatide.archive;
