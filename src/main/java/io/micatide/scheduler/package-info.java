/**
 * The decisions of one term of leadership: which task runs on which machine, what is preempted, what is written to the job ledgers, and
 * which machines are rented and returned. {@link io.micatide.scheduler.Scheduler} is the only entry; all state here is gone with the
 * term. Without input or output: a message and the time go in, commands, transactions and cloud calls come out. Times are whole
 * microseconds of a steady clock unless a name says {@code wall}. Depends on {@code model}, {@code store} and {@code jobs}; must not
 * know actors, sockets or the wire format. Not thread-safe: called by the leader's actor alone.
 */
package io.micatide.scheduler;
