package io.micatide.simulation;

import io.micatide.model.Micros;
import io.micatide.net.Http;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Injects faults into a {@link SimulatedCluster}: crashes, pauses, partitions, outages, and messages that are lost, late or duplicated.
 * Faults overlap freely; each ends by itself after the time that it is given. Which messages and workers are hit is drawn from the
 * cluster's seed, so the same calls inject the same faults again.
 */
public final class FaultInjector {
    /** What an orderly shutdown may take before the process is gone all the same. */
    private static final long SHUTDOWN_MICROS = 2 * Micros.SECOND;

    /** How often hanging workers are looked at, so that their leases end while they hang. */
    private static final int HANG_CHECK_MILLIS = 50;

    private static final String WORKER_PORT = ":9000";

    /**
     * The links that a partition of one controller cuts.
     *
     * @param store to the state service
     * @param workers from workers
     * @param peers to and from the other controllers
     */
    public record Links(boolean store, boolean workers, boolean peers) {
        @Override
        public String toString() {
            return (store ? " store" : "") + (workers ? " workers" : "") + (peers ? " peers" : "");
        }
    }

    private final SimulatedCluster cluster;
    private final VirtualTime time;
    private final Random random;
    private final DelayedHeartbeats delayedHeartbeats;
    private final List<VirtualNetwork.Partition> partitions = new ArrayList<>();
    /** How many refusals of store requests are in force for each controller. */
    private final Map<Integer, Integer> storeRefusals = new HashMap<>();

    FaultInjector(SimulatedCluster cluster, Random random) {
        this.cluster = cluster;
        this.time = cluster.time;
        this.random = random;
        this.delayedHeartbeats = new DelayedHeartbeats(
                time,
                random,
                cluster::fencingToken,
                number -> cluster.network.from(cluster.world(), SimulatedCluster.controllerEndpoint(number)),
                cluster.controllers(),
                cluster::note);
        cluster.network.setPartition(
                (from, endpoint) -> partitions.stream().anyMatch(each -> each.separates(from, endpoint)));
    }

    private void endAfter(int seconds, Runnable end) {
        time.at(time.now() + seconds * Micros.SECOND, end);
    }

    // ---- processes

    /** Crashes a controller, which is started again after so many seconds. */
    public void crashForSeconds(int controller, int seconds) {
        crashForMicros(controller, seconds * Micros.SECOND);
    }

    /** Crashes a controller, which is started again after so many microseconds. */
    public void crashForMicros(int controller, long micros) {
        if (!cluster.process(controller).hasEnded()) {
            cluster.note("crash c" + controller + " for " + micros / Micros.MILLISECOND + " ms");
            endProcess(cluster.process(controller), controller, micros);
        }
    }

    /** Shuts a controller down in order, as SIGTERM does; it is started again after so many seconds. */
    public void shutDownForSeconds(int controller, int seconds) {
        shutDownForMicros(controller, seconds * Micros.SECOND);
    }

    /** Shuts a controller down in order, as SIGTERM does; it is started again after so many microseconds. */
    public void shutDownForMicros(int controller, long micros) {
        VirtualTime.Process process = cluster.process(controller);
        if (!process.hasEnded()) {
            cluster.note("shutdown c" + controller);
            process.execute(
                    () -> cluster.controller(controller).shutDown(() -> endProcess(process, controller, micros)));
            time.at(time.now() + SHUTDOWN_MICROS, () -> endProcess(process, controller, micros));
        }
    }

    private void endProcess(VirtualTime.Process process, int controller, long backMicros) {
        if (!process.hasEnded()) {
            process.end();
            cluster.network.processEnded(process);
            time.at(time.now() + backMicros, () -> cluster.boot(controller));
        }
    }

    /** Pauses a controller's process for so many milliseconds, while its clocks run on. */
    public void pauseForMillis(int controller, int millis) {
        cluster.note("pause c" + controller + " " + millis);
        cluster.process(controller).pause(millis * Micros.MILLISECOND);
    }

    // ---- partitions

    /** Partitions a controller from others for so many seconds. */
    public void partitionController(int controller, Links links, int seconds) {
        cluster.note("partition c" + controller + links + " " + seconds);
        partition((from, endpoint) -> cuts(controller, links, from, endpoint), seconds);
    }

    private boolean cuts(int controller, Links links, VirtualTime.Process from, String endpoint) {
        boolean own = from == cluster.process(controller);
        boolean isStoreRequest = own && endpoint.equals(SimulatedCluster.STORE);
        boolean isWorkerRequest = endpoint.equals(SimulatedCluster.controllerEndpoint(controller))
                && !cluster.isController(from)
                && from != cluster.user;
        boolean isPeerRequest = (own && endpoint.startsWith(SimulatedCluster.PEER_PREFIX))
                || endpoint.equals(SimulatedCluster.peerEndpoint(controller));
        return (links.store() && isStoreRequest)
                || (links.workers() && isWorkerRequest)
                || (links.peers() && isPeerRequest);
    }

    /** Adds a partition for so many seconds, beside the others that are in force. */
    public void partition(VirtualNetwork.Partition cut, int seconds) {
        partitions.add(cut);
        endAfter(seconds, () -> partitions.remove(cut));
    }

    /** Partitions a share of the workers from all controllers, in both directions. */
    public void partitionWorkers(double share, int seconds) {
        Set<String> names = drawWorkers(share);
        cluster.note("partition workers " + names + " " + seconds);
        partition((from, endpoint) -> names.contains(cluster.workerOf(from)) || isWorker(names, endpoint), seconds);
    }

    private static boolean isWorker(Set<String> names, String endpoint) {
        return endpoint.endsWith(WORKER_PORT) && names.contains(endpoint.substring(0, endpoint.indexOf(':')));
    }

    // ---- state service

    /** Has the state service answer one controller with 503, whatever process runs in its place; the others are served. */
    public void refuseStoreRequests(int controller, int seconds) {
        cluster.note("refuse c" + controller + " " + seconds);
        storeRefusals.merge(controller, 1, Integer::sum);
        endAfter(seconds, () -> storeRefusals.merge(controller, -1, Integer::sum));
    }

    /** The link of a controller's process to an endpoint, on which {@link #refuseStoreRequests} acts. */
    Http link(int controller, String endpoint, VirtualTime.Process process) {
        Http http = cluster.network.from(process, endpoint);
        return endpoint.equals(SimulatedCluster.STORE)
                ? new RefusingHttp(http, () -> storeRefusals.getOrDefault(controller, 0) > 0, process)
                : http;
    }

    /** Takes the state service away from everyone. */
    public void storeOutage(int seconds) {
        cluster.note("store outage " + seconds);
        cluster.store.setOutage(true);
        endAfter(seconds, () -> cluster.store.setOutage(false));
    }

    /** Delays each response of the state service by up to so many microseconds. */
    public void slowStore(long maxDelayMicros, int seconds) {
        cluster.note("slow store " + maxDelayMicros / Micros.MILLISECOND + " ms " + seconds);
        cluster.network.setResponseDelay(SimulatedCluster.STORE, maxDelayMicros);
        endAfter(seconds, () -> cluster.network.setResponseDelay(SimulatedCluster.STORE, 0));
    }

    /** Delays a share of the controllers' transactions, which get no answer and are applied after newer ones. */
    public void delayTransactions(double share, int minDelaySeconds, int maxDelaySeconds, int seconds) {
        cluster.note("delayed transactions " + share + " by " + minDelaySeconds + " to " + maxDelaySeconds + " s "
                + seconds);
        affectMessages(
                (from, endpoint, path) -> path.equals("/txn") && random.nextDouble() < share
                        ? VirtualNetwork.MessageFault.delayed(drawMicros(minDelaySeconds, maxDelaySeconds))
                        : null,
                seconds);
    }

    /** Loses a share of the responses to transactions; they are applied at once, and others read what they wrote. */
    public void loseTransactionResponses(double share, int seconds) {
        cluster.note("lost responses " + share + " " + seconds);
        loseResponses(share, seconds, (endpoint, path) -> path.equals("/txn"));
    }

    /** Loses a share of the responses to transactions, to lease requests and of the cloud. */
    public void loseStoreAndCloudResponses(double share, int seconds) {
        cluster.note("lost responses " + share + " " + seconds + " of all");
        loseResponses(
                share,
                seconds,
                (endpoint, path) ->
                        path.equals("/txn") || path.startsWith("/grants") || endpoint.equals(SimulatedCluster.CLOUD));
    }

    @FunctionalInterface
    private interface Requests {
        boolean include(String endpoint, String path);
    }

    private void loseResponses(double share, int seconds, Requests requests) {
        affectMessages(
                (from, endpoint, path) -> requests.include(endpoint, path) && random.nextDouble() < share
                        ? VirtualNetwork.MessageFault.RESPONSE_LOST
                        : null,
                seconds);
    }

    /** Delays each response of controllers and state service by up to so many microseconds. */
    public void slowLinks(long maxDelayMicros, int seconds) {
        cluster.note("slow links " + maxDelayMicros / Micros.MILLISECOND + " ms " + seconds);
        List<String> endpoints = new ArrayList<>(List.of(SimulatedCluster.STORE));
        for (int i = 0; i < cluster.controllers(); i++) {
            endpoints.add(SimulatedCluster.controllerEndpoint(i));
            endpoints.add(SimulatedCluster.peerEndpoint(i));
        }
        endpoints.forEach(endpoint -> cluster.network.setResponseDelay(endpoint, maxDelayMicros));
        endAfter(seconds, () -> endpoints.forEach(endpoint -> cluster.network.setResponseDelay(endpoint, 0)));
    }

    // ---- heartbeats and workers

    /**
     * Keeps a copy of a share of the heartbeats, the newest of each worker, until another controller leads: then all of them arrive at
     * every controller at once, and once more within half a second.
     *
     * @param afterMillis for how long the next leader has led by then
     */
    public void replayHeartbeatsToNextLeader(double share, int seconds, int afterMillis) {
        cluster.note("replay heartbeats to the next leader " + share + " " + seconds + " after " + afterMillis + " ms");
        delayedHeartbeats.keepUntilNextLeader(
                share, time.now() + seconds * Micros.SECOND, afterMillis * Micros.MILLISECOND);
    }

    /** The link of a worker to a controller, on which {@link #replayHeartbeatsToNextLeader} acts. */
    Http heartbeatLink(Http http, String worker) {
        return delayedHeartbeats.recordingLink(http, worker);
    }

    /** Duplicates a share of the heartbeats: a copy arrives 2 s to two leases later at the controller that had it. */
    public void duplicateHeartbeats(double share, int seconds) {
        cluster.note("duplicated heartbeats " + share + " " + seconds);
        int maxDelaySeconds = (int) (2 * cluster.settings().workerLeaseMicros() / Micros.SECOND);
        affectMessages(
                (from, endpoint, path) -> path.equals("/v1/report") && random.nextDouble() < share
                        ? VirtualNetwork.MessageFault.duplicated(drawMicros(2, maxDelaySeconds))
                        : null,
                seconds);
    }

    /** Drops responses and direct commands to a share of the workers, whose heartbeats arrive. */
    public void dropMessagesToWorkers(double share, int seconds) {
        Set<String> names = drawWorkers(share);
        cluster.note("dropped messages to " + names + " " + seconds);
        affectMessages(
                (from, endpoint, path) ->
                        names.contains(cluster.workerOf(from)) ? VirtualNetwork.MessageFault.RESPONSE_LOST : null,
                seconds);
        partition((from, endpoint) -> isWorker(names, endpoint), seconds);
    }

    /** Drops the heartbeats of a share of the workers; direct commands reach them. */
    public void dropHeartbeats(double share, int seconds) {
        Set<String> names = drawWorkers(share);
        cluster.note("dropped heartbeats of " + names + " " + seconds);
        partition(
                (from, endpoint) -> endpoint.startsWith(SimulatedCluster.CONTROLLER_PREFIX)
                        && names.contains(cluster.workerOf(from)),
                seconds);
    }

    /** Hangs a share of the workers: what was sent to them is executed when they go on, and their tasks end with the lease. */
    public void hangWorkers(double share, int millis) {
        hangWorkers(drawWorkers(share), millis);
    }

    /** Hangs the named workers. */
    public void hangWorkers(Set<String> names, int millis) {
        cluster.note("hang " + names + " " + millis);
        cluster.forEachWorkerProcess((process, name) -> {
            if (names.contains(name)) {
                process.pause(millis * Micros.MILLISECOND);
            }
        });
        for (int at = HANG_CHECK_MILLIS; at < millis; at += HANG_CHECK_MILLIS) {
            time.at(
                    time.now() + at * Micros.MILLISECOND,
                    () -> names.stream()
                            .map(cluster::worker)
                            .filter(Objects::nonNull)
                            .forEach(worker -> worker.expireLease(time.now())));
        }
    }

    private Set<String> drawWorkers(double share) {
        Set<String> names = new TreeSet<>();
        cluster.workerNames().stream()
                .sorted()
                .filter(name -> random.nextDouble() < share)
                .forEach(names::add);
        return names;
    }

    private long drawMicros(int minSeconds, int maxSeconds) {
        return minSeconds * Micros.SECOND + (long) (random.nextDouble() * (maxSeconds - minSeconds) * Micros.SECOND);
    }

    private void affectMessages(VirtualNetwork.MessageFaults fates, int seconds) {
        cluster.network.addFaults(fates);
        endAfter(seconds, () -> cluster.network.removeFaults(fates));
    }
}
