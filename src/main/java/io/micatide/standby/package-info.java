/**
 * What a controller that does not lead does in order to take over quickly: it keeps a replica of ledgers and provisioning requests,
 * knows its place in the order of election, and proves its replica before the first decision rests on it. Without input or output;
 * {@code controller.StandbyActor} reads and sends for it. Must not know placement, workers or users.
 */
package io.micatide.standby;
