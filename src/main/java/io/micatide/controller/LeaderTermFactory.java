package io.micatide.controller;

import io.micatide.scheduler.Scheduler;

/** Creates a {@link LeaderTerm} and its parts. Used on the executor of the leader's actor only. */
final class LeaderTermFactory {
    private final LeaderActor owner;
    private final ControllerServices services;
    private final UsersActor users;
    private final ArchiverActor archiver;
    private final LeaderCollaborators collaborators;
    private final long maxArrayTasks;

    LeaderTermFactory(
            LeaderActor owner,
            ControllerServices services,
            UsersActor users,
            ArchiverActor archiver,
            LeaderCollaborators collaborators,
            long maxArrayTasks) {
        this.owner = owner;
        this.services = services;
        this.users = users;
        this.archiver = archiver;
        this.collaborators = collaborators;
        this.maxArrayTasks = maxArrayTasks;
    }

    /**
     * Creates the term with the given fencing token. The caller starts it.
     *
     * @param fencingToken the revision of the transaction that wrote the leader record
     */
    LeaderTerm create(long fencingToken, long now) {
        Scheduler scheduler = new Scheduler(services.settings(), services.tuning(), maxArrayTasks, fencingToken, now);
        scheduler.leaseHeldUntil(collaborators.election().leaseHeldUntilMicros());
        return new LeaderTerm(owner, users, scheduler, components(scheduler, now));
    }

    private TermComponents components(Scheduler scheduler, long now) {
        return new TermComponents(
                loader(scheduler.fencingToken()),
                new LedgerCommitter(owner, scheduler, services.store(), users),
                new CloudCalls(owner, scheduler, services.cloud(), services.store(), users),
                new RolloutDriver(
                        owner,
                        services.settings(),
                        services.tuning(),
                        scheduler,
                        services.store(),
                        users,
                        collaborators.rollout()),
                new TermArchiving(owner, services.tuning(), scheduler, users, archiver),
                new LearnedStateWriter(
                        owner, services.settings(), scheduler, services.store(), collaborators.rollout()),
                announcer(scheduler, now));
    }

    private FailoverLoader loader(long fencingToken) {
        return new FailoverLoader(
                services.executor(),
                services.store(),
                owner,
                collaborators.standbyCoordinator().standbyActor(),
                fencingToken);
    }

    private TermAnnouncer announcer(Scheduler scheduler, long now) {
        return new TermAnnouncer(
                owner,
                services.settings(),
                scheduler,
                services.connector(),
                collaborators.standbyCoordinator().wasHandedOver(now));
    }
}
