package io.micatide.controller;

import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.net.CloudClient;
import io.micatide.net.Http;
import io.micatide.net.StoreClient;

/**
 * The services that the actors of one controller share: settings, the executor that runs the actors, and clients of other processes.
 *
 * @param settings the settings of the controller
 * @param tuning the tuning of the controller
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
