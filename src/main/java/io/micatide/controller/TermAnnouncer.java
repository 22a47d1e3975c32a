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
    private static final double CORE_SECONDS = 0.001;

    private static final double SHARE = 0.25;
    private static final int MOST_WAITING = 48;
    /** In a cut a connection hangs; the machine comes by itself, or not at all. */
    private static final long PATIENCE_MICROS = Micros.SECOND;

    private final LeaderActor owner;
    private final Scheduler scheduler;
    private final Http.Connector connector;
    private final Settings settings;
    private final boolean handedOver;
    private double due;
    private long paidMicros;
    private int waiting;

    /** @param handedOver whether the leader before ended in order, so that no worker looks for another one yet */
    TermAnnouncer(
            LeaderActor owner, Settings settings, Scheduler scheduler, Http.Connector connector, boolean handedOver) {
        this.owner = owner;
        this.scheduler = scheduler;
        this.connector = connector;
        this.settings = settings;
        this.handedOver = handedOver;
        this.paidMicros = owner.now();
    }

    /** Called every so often once all is read. */
    void next(long now) {
        due = Math.min(MOST_WAITING, due + aSecond() * Micros.toSeconds(now - paidMicros));
        paidMicros = now;
        int most = (int) Math.min(due, MOST_WAITING - waiting);
        if (most < 1) {
            return;
        }
        for (TermAnnouncement greeting : scheduler.nextAnnouncements(most)) {
            due--;
            greet(greeting, connector.to(greeting.address(), 1));
        }
    }

    private double aSecond() {
        if (handedOver) {
            return settings.cores() * SHARE / CORE_SECONDS;
        }
        double interval = Micros.toSeconds(settings.heartbeatIntervalMicros());
        double reports = scheduler.machineCount() / interval * CORE_SECONDS;
        double most = Math.max(0, settings.cores() - reports) * SHARE / CORE_SECONDS;
        return most * interval < scheduler.machineCount() ? 0 : most;
    }

    private void greet(TermAnnouncement greeting, Http worker) {
        waiting++;
        long fencingToken = scheduler.fencingToken();
        worker.post(
                "/commands",
                WorkerCodec.greeting(fencingToken, greeting.incarnation()),
                PATIENCE_MICROS,
                owner.answer(r -> new TermMessage.Greeted(r, fencingToken, greeting, worker)));
    }

    void answered(TermMessage.Greeted message) {
        waiting--;
        TermAnnouncement greeting = message.greeting();
        try {
            if (message.reply().ok()) {
                scheduler.announcementAnswered(
                        WorkerCodec.heartbeat(message.reply().body()), owner.now());
            } else if (message.reply().status() == 409) {
                Heartbeat heartbeat = WorkerCodec.heartbeat(message.reply().body());
                if (heartbeat.fencingToken() <= message.fencingToken()
                        && heartbeat.incarnation() > greeting.incarnation()) {
                    greet(
                            new TermAnnouncement(greeting.machine(), greeting.address(), heartbeat.incarnation()),
                            message.worker());
                    return;
                }
                owner.tokenSeen(heartbeat.fencingToken());
            }
        } catch (MalformedException e) {
            LOG.error("answer of {}: {}", greeting.machine(), e.getMessage());
        }
        message.worker().close();
    }
}
