package io.micatide.controller;

import io.micatide.net.Request;
import io.micatide.protocol.JobCodec;
import io.micatide.store.Outcome;

/** A submission of a job that was accepted before gets 200 and how it stands. */
abstract class Accepted implements Place {
    private final UsersActor owner;
    private final Request request;
    private final String id;

    Accepted(UsersActor owner, Request request, String id) {
        this.owner = owner;
        this.request = request;
        this.id = id;
    }

    @Override
    public void inCopy() {
        request.answer(
                200, JobCodec.accepted(id, owner.standing(owner.directory().get(id))));
    }

    @Override
    public void archived(Outcome outcome) {
        request.answer(200, JobCodec.accepted(id, owner.standing(outcome)));
    }
}
