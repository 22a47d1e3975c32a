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
 * Announces a new term to workers. Without an announcement the leader would have to wait until a worker's next heartbeat finds it, and jobs
 * wait for every machine that their ledgers name. An announcement carries the fencing token and no command, so a delayed one does no harm: a
 * worker that knows a higher token refuses it. Part of the leader's actor.
 *
 * <p>Announcements use a quarter of the CPU time that heartbeats leave free. If that does not suffice for all machines within one heartbeat
 * interval, none are sent: workers that have lost a leader look for another one themselves within about that time, and slower announcements
 * only delayed their heartbeats (90% of 640 machines were confirmed after 3.1 s instead of 2.2 s). After a graceful handover, however, no
 * worker looks for another leader, so announcements are sent even if they take longer.
 */
final class TermAnnouncer {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    /** CPU time of an announcement with its connection, in seconds of a core. A heartbeat with the work that follows takes about as much. */
    private static final double CORE_SECONDS_PER_ANNOUNCEMENT = 0.001;

    /** The share of the CPU time left by heartbeats that announcements may use; after a graceful handover, of all CPU time. */
    private static final double SPARE_CPU_SHARE = 0.25;

    private static final int MAX_IN_FLIGHT = 48;
    /** Bounds how long a connection to a partitioned worker counts as in flight. A worker that is not reached sends a heartbeat once it can. */
    private static final long TIMEOUT_MICROS = Micros.SECOND;

    private static final int CONNECTIONS_PER_WORKER = 1;

    private final LeaderActor owner;
    private final Scheduler scheduler;
    private final Http.Connector connector;
    private final Settings settings;
    private final boolean wasHandedOver;
    /** The number of announcements that may be sent now within the CPU share; grows with time up to {@link #MAX_IN_FLIGHT}. */
    private double budget;

    private long budgetUpdatedMicros;
    private int inFlight;

    /** @param wasHandedOver whether the previous leader has just handed over gracefully, so that no worker looks for another leader yet */
    TermAnnouncer(
            LeaderActor owner,
            Settings settings,
            Scheduler scheduler,
            Http.Connector connector,
            boolean wasHandedOver) {
        this.owner = owner;
        this.scheduler = scheduler;
        this.connector = connector;
        this.settings = settings;
        this.wasHandedOver = wasHandedOver;
        this.budgetUpdatedMicros = owner.now();
    }

    /** Sends as many announcements as the budget allows; called every 100 ms once loading is complete. */
    void sendDue(long now) {
        double elapsedSeconds = Micros.toSeconds(now - budgetUpdatedMicros);
        budget = Math.min(MAX_IN_FLIGHT, budget + ratePerSecond() * elapsedSeconds);
        budgetUpdatedMicros = now;
        int allowed = (int) Math.min(budget, MAX_IN_FLIGHT - inFlight);
        if (allowed < 1) {
            return;
        }
        for (TermAnnouncement announcement : scheduler.nextAnnouncements(allowed)) {
            budget--;
            send(announcement, connector.clientFor(announcement.address(), CONNECTIONS_PER_WORKER));
        }
    }

    private double ratePerSecond() {
        if (wasHandedOver) {
            return settings.cores() * SPARE_CPU_SHARE / CORE_SECONDS_PER_ANNOUNCEMENT;
        }
        double intervalSeconds = Micros.toSeconds(settings.heartbeatIntervalMicros());
        double coresForHeartbeats = scheduler.machineCount() / intervalSeconds * CORE_SECONDS_PER_ANNOUNCEMENT;
        double rate =
                Math.max(0, settings.cores() - coresForHeartbeats) * SPARE_CPU_SHARE / CORE_SECONDS_PER_ANNOUNCEMENT;
        boolean reachesAllInTime = rate * intervalSeconds >= scheduler.machineCount();
        return reachesAllInTime ? rate : 0;
    }

    private void send(TermAnnouncement announcement, Http worker) {
        inFlight++;
        long fencingToken = scheduler.fencingToken();
        worker.post(
                "/commands",
                WorkerCodec.termAnnouncement(fencingToken, announcement.incarnation()),
                TIMEOUT_MICROS,
                owner.onReply(r -> new TermMessage.AnnouncementAnswered(r, fencingToken, announcement, worker)));
    }

    /** Handles a worker's answer. A worker that did not answer within the timeout is not retried, since it sends heartbeats itself. */
    void announcementAnswered(TermMessage.AnnouncementAnswered message) {
        inFlight--;
        boolean isRetried = false;
        try {
            if (message.reply().ok()) {
                Heartbeat heartbeat = WorkerCodec.heartbeat(message.reply().body());
                scheduler.announcementAnswered(heartbeat, owner.now());
            } else if (message.reply().status() == 409) {
                isRetried = handleRefusal(message);
            }
        } catch (MalformedException e) {
            LOG.error(
                    "machine {}: malformed answer to the announcement of the term: {}",
                    message.announcement().machine(),
                    e.getMessage());
        }
        if (!isRetried) {
            message.worker().close();
        }
    }

    /**
     * Handles the refusal of an announcement: sends the announcement again if the worker has a later incarnation than was known, otherwise
     * observes the worker's fencing token, which may be higher than that of this term.
     *
     * @return whether the announcement was sent again
     */
    private boolean handleRefusal(TermMessage.AnnouncementAnswered message) throws MalformedException {
        TermAnnouncement announcement = message.announcement();
        Heartbeat heartbeat = WorkerCodec.heartbeat(message.reply().body());
        if (heartbeat.fencingToken() <= message.fencingToken()
                && heartbeat.incarnation() > announcement.incarnation()) {
            send(
                    new TermAnnouncement(announcement.machine(), announcement.address(), heartbeat.incarnation()),
                    message.worker());
            return true;
        }
        owner.observeFencingToken(heartbeat.fencingToken());
        return false;
    }
}
