package io.micatide.simulation.scale;

import io.micatide.controller.ActorExecutor;
import io.micatide.model.JobSpec;
import io.micatide.model.Settings;
import io.micatide.net.Http;
import io.micatide.net.HttpClient;
import io.micatide.net.HttpServer;
import io.micatide.net.Request;
import io.micatide.simulation.GangRendezvous;
import io.micatide.simulation.SimulatedCloud;
import io.micatide.simulation.SimulatedWorker;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/**
 * Workers that speak the protocol over sockets and run nothing: a task is a timer. Each listens at a loopback address of its own for direct
 * commands. Used from its loop only.
 */
final class HollowWorkers {
    private static final int ADDRESSES_PER_BLOCK = 250;
    private static final int MOST_COMMAND_CONNECTIONS = 20;
    /** A task's time lies between so much less and so much more than its estimate. */
    private static final double SPREAD = 0.5;

    private final EventLoop eventLoop;
    private final ActorExecutor loop;
    private final int commandPort;
    private final Settings settings;
    private final List<Settings> controllers;
    private final List<Traffic> traffic;
    private final GangRendezvous gangs;
    private final Function<String, JobSpec> described;
    private final SimulatedWorker.Witness witness;
    private final Histogram latency = Traffic.histogram();
    private final Map<String, SimulatedWorker> workers = new HashMap<>();
    private final Map<String, Channel> listeners = new HashMap<>();
    private String silentZone;
    private int lastAddress;

    /** @param commandPort where each worker listens for direct commands, at an address of its own */
    HollowWorkers(
            EventLoop eventLoop,
            ActorExecutor loop,
            int commandPort,
            List<Settings> controllers,
            List<Traffic> traffic,
            Function<String, JobSpec> described,
            SimulatedWorker.Witness witness) {
        this.eventLoop = eventLoop;
        this.loop = loop;
        this.commandPort = commandPort;
        this.settings = controllers.get(0);
        this.controllers = controllers;
        this.traffic = traffic;
        this.gangs = new GangRendezvous(loop, settings);
        this.described = described;
        this.witness = witness;
    }

    /** The machine is up; its worker begins to report within a report interval, so that not all do so at once. */
    void up(SimulatedCloud.RentedMachine machine) {
        Map<String, Http> known = new LinkedHashMap<>();
        for (int i = 0; i < controllers.size(); i++) {
            HttpClient client = new HttpClient(eventLoop, controllers.get(i).bind(), 1);
            known.put(
                    controllers.get(i).label(),
                    new CountedHttp(
                            client,
                            loop,
                            traffic.get(i),
                            Traffic.Kind.HEARTBEAT,
                            latency,
                            () -> machine.zone().equals(silentZone)));
        }
        SimulatedWorker worker = new SimulatedWorker(loop, settings, machine, known, described, gangs, witness);
        worker.setAddress(listen(machine, worker));
        worker.setRunTime(HollowWorkers::runTime);
        workers.put(machine.name(), worker);
        long wait = (long) (new Random(machine.name().hashCode()).nextDouble() * settings.heartbeatIntervalMicros());
        loop.executeLater(worker::start, wait);
    }

    private String listen(SimulatedCloud.RentedMachine machine, SimulatedWorker worker) {
        int number = lastAddress++;
        String endpoint =
                "127.1." + number / ADDRESSES_PER_BLOCK + "." + (1 + number % ADDRESSES_PER_BLOCK) + ":" + commandPort;
        HttpServer server = new HttpServer(request -> command(machine, worker, request), MOST_COMMAND_CONNECTIONS);
        ChannelFuture bound = server.bind(eventLoop, endpoint);
        listeners.put(machine.name(), bound.channel());
        return endpoint;
    }

    private void command(SimulatedCloud.RentedMachine machine, SimulatedWorker worker, Request request) {
        if (!machine.zone().equals(silentZone)) {
            // Which controller asked is not known here; the first one's sums hold all direct commands.
            worker.handle(new CountedRequest(request, traffic.get(0), Traffic.Kind.DIRECT_COMMAND));
        }
    }

    private static long runTime(String job, int index, long estimateMicros) {
        double drawn = new Random(job.hashCode() * 31L + index).nextDouble();
        return (long) (estimateMicros * (1 - SPREAD + 2 * SPREAD * drawn));
    }

    /** The machine is gone. */
    void gone(String machine) {
        SimulatedWorker worker = workers.remove(machine);
        if (worker != null) {
            worker.delete();
            listeners.remove(machine).close();
        }
    }

    /** From now on the workers of this zone reach nobody and are reached by nobody; null for none. */
    void silence(String zone) {
        silentZone = zone;
    }

    int size() {
        return workers.size();
    }

    Histogram latency() {
        return latency;
    }
}
