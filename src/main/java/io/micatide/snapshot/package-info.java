/**
 * Snapshots of the store: taken through its published protocol while it serves, kept in one file with checksums, and restored into an
 * empty store. Treats values as opaque except for their keys; communicates with the store alone, through
 * {@link io.micatide.snapshot.StoreCalls}; must not depend on controllers.
 */
package io.micatide.snapshot;
