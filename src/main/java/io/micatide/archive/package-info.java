/**
 * The archive of finished jobs: packs their outcomes into segments, looks them up, and writes and merges runs of segments. Has no sockets
 * and no clock: {@link io.micatide.archive.Archiver} returns each read or write as an operation, whose outcome the caller reports to it. Used
 * by {@code controller} alone. Depends on {@code model} and {@code store}; must not know the wire format, users or the scheduler.
 */
package io.micatide.archive;
