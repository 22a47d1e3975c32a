package io.micatide.controller;

import io.micatide.model.Heartbeat;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.TermAnnouncement;
import io.micatide.net.Http;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.WorkerCodec;
import io.micatide.scheduler.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells workers of a new term instead of waiting until they come: they find a new leader only at their next report, and jobs wait for
 * every machine that their ledgers name. A greeting carries the token and no command, so it may arrive at any later time: a worker that
 * knows a higher one refuses it. Part of the leader's actor.
 *
 * <p>Greetings take a quarter of what the workers' reports leave of the processor, and where that does not reach all machines within a
 * report's interval there are none: workers that have lost a leader look for another one by themselves in about that time, and slower
 * greetings only made their reports wait (90% of 640 machines confirmed after 3.1 s instead of 2.2). Only after an orderly end does
 * nobody look, and all are greeted at whatever rate.
 */
final class TermAnnouncer {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    /** What a greeting with its connection takes of a core, and about as much as a report with all that follows from it. */
    private static final double CORE_SECONDS_PER_ANNOUNCEMENT = 0.001;

    private static final double SPARE_CPU_SHARE = 0.25;
    private static final int MAX_IN_FLIGHT = 48;
    /** In a cut a connection hangs; the machine comes by itself, or not at all. */
    private static final long TIMEOUT_MICROS = Micros.SECOND;

    private final LeaderActor owner;
    private final Scheduler scheduler;
    private final Http.Connector connector;
    private final Settings settings;
    private final boolean wasHandedOver;
    private double budget;
    private long budgetUpdatedMicros;
    private int inFlight;

    /** @param handedOver whether the leader before ended in order, so that no worker looks for another one yet */
    TermAnnouncer(
            LeaderActor owner, Settings settings, Scheduler scheduler, Http.Connector connector, boolean handedOver) {
        this.owner = owner;
        this.scheduler = scheduler;
        this.connector = connector;
        this.settings = settings;
        this.wasHandedOver = handedOver;
        this.budgetUpdatedMicros = owner.now();
    }

    /** Called every so often once all is read. */
    void sendDue(long now) {
        budget = Math.min(MAX_IN_FLIGHT, budget + ratePerSecond() * Micros.toSeconds(now - budgetUpdatedMicros));
        budgetUpdatedMicros = now;
        int most = (int) Math.min(budget, MAX_IN_FLIGHT - inFlight);
        if (most < 1) {
            return;
        }
        for (TermAnnouncement greeting : scheduler.nextAnnouncements(most)) {
            budget--;
            send(greeting, connector.to(greeting.address(), 1));
        }
    }

    private double ratePerSecond() {
        if (wasHandedOver) {
            return settings.cores() * SPARE_CPU_SHARE / CORE_SECONDS_PER_ANNOUNCEMENT;
        }
        double interval = Micros.toSeconds(settings.heartbeatIntervalMicros());
        double reports = scheduler.machineCount() / interval * CORE_SECONDS_PER_ANNOUNCEMENT;
        double most = Math.max(0, settings.cores() - reports) * SPARE_CPU_SHARE / CORE_SECONDS_PER_ANNOUNCEMENT;
        return most * interval < scheduler.machineCount() ? 0 : most;
    }

    private void send(TermAnnouncement greeting, Http worker) {
        inFlight++;
        long fencingToken = scheduler.fencingToken();
        worker.post(
                "/commands",
                WorkerCodec.greeting(fencingToken, greeting.incarnation()),
                TIMEOUT_MICROS,
                owner.answer(r -> new TermMessage.AnnouncementAnswered(r, fencingToken, greeting, worker)));
    }

    void answered(TermMessage.AnnouncementAnswered message) {
        inFlight--;
        TermAnnouncement greeting = message.announcement();
        try {
            if (message.reply().ok()) {
                scheduler.announcementAnswered(
                        WorkerCodec.heartbeat(message.reply().body()), owner.now());
            } else if (message.reply().status() == 409) {
                Heartbeat heartbeat = WorkerCodec.heartbeat(message.reply().body());
                if (heartbeat.fencingToken() <= message.fencingToken()
                        && heartbeat.incarnation() > greeting.incarnation()) {
                    send(
                            new TermAnnouncement(greeting.machine(), greeting.address(), heartbeat.incarnation()),
                            message.worker());
                    return;
                }
                owner.observeFencingToken(heartbeat.fencingToken());
            }
        } catch (MalformedException e) {
            LOG.error("answer of {}: {}", greeting.machine(), e.getMessage());
        }
        message.worker().close();
    }
}
