package io.micatide.node;

import io.micatide.core.Greeting;
import io.micatide.core.MachineReport;
import io.micatide.core.Micros;
import io.micatide.core.Scheduler;
import io.micatide.core.Settings;
import io.micatide.net.Http;
import io.micatide.wire.MalformedException;
import io.micatide.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells workers of a new term instead of waiting until they come: they find a new leader only at their next report, and jobs wait for
 * every machine that their ledgers name. A greeting carries the token and no command, so it may arrive at any later time: a worker that
 * knows a higher one refuses it. Workers are met at a rate that leaves most of the processor to the reports that come meanwhile. Part of
 * the leader's actor.
 */
final class Greeter {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    /** A connection and its answer take about a millisecond of a core: a quarter of one. */
    private static final double A_SECOND_AND_CORE = 250;
    private static final int MOST_WAITING = 48;
    /** In a cut a connection hangs; the machine comes by itself, or not at all. */
    private static final long PATIENCE_MICROS = Micros.SECOND;

    private final LeaderActor owner;
    private final Scheduler scheduler;
    private final Http.Connector connector;
    private final double aSecond;
    private double due;
    private long paidMicros;
    private int waiting;

    Greeter(LeaderActor owner, Settings settings, Scheduler scheduler, Http.Connector connector) {
        this.owner = owner;
        this.scheduler = scheduler;
        this.connector = connector;
        this.aSecond = A_SECOND_AND_CORE * Math.max(0.1, settings.cores());
        this.paidMicros = owner.now();
    }

    /** Called every so often once all is read. */
    void next(long now) {
        due = Math.min(MOST_WAITING, due + aSecond * Micros.toSeconds(now - paidMicros));
        paidMicros = now;
        int most = (int) Math.min(due, MOST_WAITING - waiting);
        if (most < 1) {
            return;
        }
        for (Greeting greeting : scheduler.greetings(most)) {
            due--;
            greet(greeting, connector.to(greeting.address(), 1));
        }
    }

    private void greet(Greeting greeting, Http worker) {
        waiting++;
        long token = scheduler.token();
        worker.post("/commands", WorkerCodec.greeting(token, greeting.session()), PATIENCE_MICROS,
                owner.answer(r -> new TermMessage.Greeted(r, token, greeting, worker)));
    }

    void answered(TermMessage.Greeted message) {
        waiting--;
        Greeting greeting = message.greeting();
        try {
            if (message.reply().ok()) {
                scheduler.greeted(WorkerCodec.report(message.reply().body()), owner.now());
            } else if (message.reply().status() == 409) {
                MachineReport report = WorkerCodec.report(message.reply().body());
                if (report.token() <= message.token() && report.session() > greeting.session()) {
                    greet(new Greeting(greeting.machine(), greeting.address(), report.session()), message.worker());
                    return;
                }
                owner.tokenSeen(report.token());
            }
        } catch (MalformedException e) {
            LOG.error("answer of {}: {}", greeting.machine(), e.getMessage());
        }
        message.worker().close();
    }
}
