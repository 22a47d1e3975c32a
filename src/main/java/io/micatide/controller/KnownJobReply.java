package io.micatide.controller;

import io.micatide.net.Request;
import io.micatide.protocol.JobCodec;
import io.micatide.store.JobOutcome;

/** Answers the submission of a job that was accepted before with 200 and the job's state. */
abstract class KnownJobReply implements JobLookupHandler {
    private final UsersActor owner;
    private final Request request;
    private final String id;

    KnownJobReply(UsersActor owner, Request request, String id) {
        this.owner = owner;
        this.request = request;
        this.id = id;
    }

    @Override
    public void foundInCache() {
        request.answer(
                200, JobCodec.accepted(id, owner.standing(owner.jobCache().get(id))));
    }

    @Override
    public void foundInArchive(JobOutcome outcome) {
        request.answer(200, JobCodec.accepted(id, owner.standing(outcome)));
    }
}
