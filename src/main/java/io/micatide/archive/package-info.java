/**
 * The archive of final job states: packing them into segments, finding them again, writing and merging runs. Owns no sockets and no
 * clock: {@link io.micatide.archive.Archiver} returns each read or write as an operation and is told its outcome. Used by
 * {@code controller} alone. Depends on {@code model} and {@code store}; must not know the wire format, users or the scheduler.
 */
package io.micatide.archive;
