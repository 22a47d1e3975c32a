/**
 * Preparation of a controller that does not lead for a fast failover: it keeps a replica of ledgers and provisioning requests, knows its
 * rank in the election, and verifies its replica before any decision is based on it. Performs no I/O; {@code controller.StandbyActor}
 * reads and sends on its behalf. Must not depend on placement, workers or users.
 */
package io.micatide.standby;
