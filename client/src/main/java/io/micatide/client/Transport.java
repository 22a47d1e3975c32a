package io.micatide.client;

import io.micatide.client.model.Job;
import java.util.concurrent.CompletableFuture;

/** One request to one controller, without repetition. */
public interface Transport {
    /** What is asked. */
    sealed interface Call {}

    record Submit(Job job) implements Call {}

    record Ask(String id) implements Call {}

    record Abort(String id) implements Call {}

    /**
     * What became of it.
     *
     * @param status 0 without an answer: it may have been carried out
     * @param standing how the job stands, null where that was not said
     * @param retryAfterMicros when to come back, 0 where that was not said
     * @param field the field that is wrong, null where that was not said
     * @param message what is wrong, for people
     */
    record Answer(
            int status, String standing, int done, int running, long retryAfterMicros, String field, String message) {
        static Answer none(String why) {
            return new Answer(0, null, 0, 0, 0, null, why);
        }
    }

    /** Never completes with an exception; cancelling it gives the request up. */
    CompletableFuture<Answer> send(String endpoint, Call call, long timeoutMicros);
}
