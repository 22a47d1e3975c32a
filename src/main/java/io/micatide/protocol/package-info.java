/**
 * JSON and TOML as they stand in the protocols. The only place that knows the words of the wire; everything else speaks
 * of machines, tokens, attempts, tasks, teams, images, spot and revisions.
 */
package io.micatide.protocol;
