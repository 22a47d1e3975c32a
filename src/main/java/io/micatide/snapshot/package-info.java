/**
 * Snapshots of the state service: taken through its published protocol while it serves, kept in one checked file, and restored into an
 * empty service. Knows records only by their keys; speaks to the state service through {@link io.micatide.snapshot.StoreCalls} and
 * to nobody else; must not know controllers.
 */
package io.micatide.snapshot;
