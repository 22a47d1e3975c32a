package io.micatide.simulation;

import io.micatide.model.Micros;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.LongSupplier;

/** Copies of workers' reports that are held back until another controller leads. Times in microseconds. */
final class DelayedHeartbeats {
    private static final long LOOK_MICROS = 5 * Micros.MILLISECOND;
    private static final int AGAIN_MILLIS = 500;

    private final VirtualTime time;
    private final Random random;
    private final LongSupplier fencingToken;
    private final IntFunction<Http> controllers;
    private final int count;
    private final Consumer<String> log;
    private final Map<String, byte[]> newest = new TreeMap<>();
    private double share;

    /**
     * @param fencingToken of the leader row
     * @param controllers how each of {@code count} is reached
     * @param log is told when the copies arrive
     */
    DelayedHeartbeats(
            VirtualTime time,
            Random random,
            LongSupplier fencingToken,
            IntFunction<Http> controllers,
            int count,
            Consumer<String> log) {
        this.time = time;
        this.random = random;
        this.fencingToken = fencingToken;
        this.controllers = controllers;
        this.count = count;
        this.log = log;
    }

    /** From now on a copy of that share of the reports is kept, until another leader has led for so long, or until then at most. */
    void keepUntilNextLeader(double each, long until, long afterMicros) {
        share = each;
        await(fencingToken.getAsLong(), until, afterMicros);
    }

    private void await(long before, long until, long afterMicros) {
        time.at(time.now() + LOOK_MICROS, () -> {
            if (fencingToken.getAsLong() > before) {
                share = 0;
                time.at(time.now() + afterMicros, this::arrive);
            } else if (time.now() < until) {
                await(before, until, afterMicros);
            } else {
                share = 0;
                newest.clear();
            }
        });
    }

    /** The newest of each machine, at every controller, at once and once more. */
    private void arrive() {
        log.accept("kept reports of " + newest.keySet() + " arrive");
        for (byte[] body : List.copyOf(newest.values())) {
            for (int i = 0; i < count; i++) {
                Http to = controllers.apply(i);
                to.post("/v1/report", body, Micros.SECOND, reply -> {});
                time.at(
                        time.now() + random.nextInt(AGAIN_MILLIS) * Micros.MILLISECOND,
                        () -> to.post("/v1/report", body, Micros.SECOND, reply -> {}));
            }
        }
        newest.clear();
    }

    /** What a machine reports by. */
    Http recordingLink(Http http, String machine) {
        return new Http() {
            @Override
            public void get(String path, long timeoutMicros, Consumer<Reply> then) {
                http.get(path, timeoutMicros, then);
            }

            @Override
            public void post(String path, byte[] body, long timeoutMicros, Consumer<Reply> then) {
                if (share > 0 && random.nextDouble() < share) {
                    newest.put(machine, body);
                }
                http.post(path, body, timeoutMicros, then);
            }

            @Override
            public void delete(String path, long timeoutMicros, Consumer<Reply> then) {
                http.delete(path, timeoutMicros, then);
            }
        };
    }
}
