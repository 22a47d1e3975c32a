package io.micatide.simulation.scale;

import io.micatide.model.Micros;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Messages, bytes and latencies between one controller and those that speak to it. A message is a request with its answer; bytes are those
 * of their bodies, without heads. May be used from any thread.
 */
final class Traffic {
    /** Who speaks to whom. */
    enum Kind {
        /** A worker's report and its answer. */
        HEARTBEAT,
        /** A controller's direct command to a worker. */
        DIRECT_COMMAND,
        /** A user's submission, poll or cancellation. */
        USER,
        /** A controller's request to the state service, watches among them. */
        STATE,
        /** A controller's request to the cloud. */
        CLOUD
    }

    /** Sums of one kind; {@code in} is what the controller received. */
    record Sum(long messages, long bytesIn, long bytesOut) {
        static final Sum NONE = new Sum(0, 0, 0);

        Sum plus(long messages, long in, long out) {
            return new Sum(this.messages + messages, bytesIn + in, bytesOut + out);
        }

        Sum minus(Sum other) {
            return new Sum(messages - other.messages, bytesIn - other.bytesIn, bytesOut - other.bytesOut);
        }

        long bytes() {
            return bytesIn + bytesOut;
        }
    }

    static final long MOST_MICROS = 120 * Micros.SECOND;
    private static final int DIGITS = 3;

    private final Map<Kind, Sum> sums = new EnumMap<>(Kind.class);
    private long accepted;

    static Histogram histogram() {
        return new Histogram(MOST_MICROS, DIGITS);
    }

    synchronized void add(Kind kind, long bytesIn, long bytesOut) {
        sums.merge(kind, new Sum(1, bytesIn, bytesOut), (a, b) -> a.plus(1, b.bytesIn(), b.bytesOut()));
    }

    /** The controller answered a heartbeat with 200, as only a leader does. */
    synchronized void acceptedHeartbeat() {
        accepted++;
    }

    synchronized long acceptedHeartbeats() {
        return accepted;
    }

    synchronized Sum sum(Kind kind) {
        return sums.getOrDefault(kind, Sum.NONE);
    }
}
