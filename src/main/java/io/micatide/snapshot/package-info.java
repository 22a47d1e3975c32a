/**
 * Snapshots of what the state service holds: taken through its published protocol while it serves, kept in one file, checked, and
 * restored into an empty service. Knows no row but by its key; speaks to the state service through {@link
 * io.micatide.snapshot.StateCalls} and to nobody else; may not know controllers.
 */
package io.micatide.snapshot;
