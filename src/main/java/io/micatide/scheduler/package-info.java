/**
 * The scheduler of one term of leadership. It decides which task runs on which machine, which tasks are preempted, what is written to the job
 * ledgers, and which machines are rented and returned. {@link io.micatide.scheduler.Scheduler} is the only entry point; all state of this package
 * ends with the term.
 *
 * <p>The package performs no I/O: it receives messages and the current time, and returns commands, transactions and cloud calls. Times
 * are whole microseconds of a steady clock unless a name contains {@code wall}. The package depends on {@code model}, {@code store} and {@code jobs}
 * and must not depend on actors, sockets or the wire format. Not thread-safe: called only by the leader's actor.
 */
package io.micatide.scheduler;
