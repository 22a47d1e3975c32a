package io.micatide.controller;

import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.net.CloudClient;
import io.micatide.net.Http;
import io.micatide.net.StoreClient;

/**
 * What the actors of one controller share: its settings, the executor that runs them and its ways to the outside.
 *
 * @param executor runs all actors of the controller, one message at a time
 * @param store the client of the consensus-backed key-value store
 * @param cloud the client of the cloud provider
 * @param connector opens connections to peers and workers
 */
record ControllerServices(
        Settings settings,
        Tuning tuning,
        ActorExecutor executor,
        StoreClient store,
        CloudClient cloud,
        Http.Connector connector) {}
