package io.micatide.simulation.scale;

import io.micatide.net.Request;

/** A controller's request to a stand-in, counted with its answer. */
final class CountedRequest implements Request {
    private final Request request;
    private final Traffic traffic;
    private final Traffic.Kind kind;

    CountedRequest(Request request, Traffic traffic, Traffic.Kind kind) {
        this.request = request;
        this.traffic = traffic;
        this.kind = kind;
    }

    @Override
    public String method() {
        return request.method();
    }

    @Override
    public String path() {
        return request.path();
    }

    @Override
    public byte[] body() {
        return request.body();
    }

    @Override
    public void answer(int status, byte[] json, int retryAfterSeconds) {
        traffic.add(kind, json.length, request.body().length);
        request.answer(status, json, retryAfterSeconds);
    }

    @Override
    public void answerAndClose(int status, byte[] json, int retryAfterSeconds) {
        traffic.add(kind, json.length, request.body().length);
        request.answerAndClose(status, json, retryAfterSeconds);
    }
}
