package io.micatide.simulation;

import io.micatide.model.Micros;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/** Carries requests between processes in virtual time: delays, losses and late arrivals are drawn from a seed. */
public final class VirtualNetwork {
    /** Sees every request of a process just before it leaves and just before its answer does. */
    public interface Observer {
        void requestSent(VirtualTime.Process from, String endpoint, String path);

        void responseSent(VirtualTime.Process from, String endpoint, String path);
    }

    /** Receives every request when it is sent and every response when it is made, in that order, with the virtual time. */
    public interface Recorder {
        void request(long atMicros, String method, String endpoint, String path, byte[] body);

        void response(long atMicros, String endpoint, String path, int status, byte[] body);
    }

    /** Who does not reach whom. */
    @FunctionalInterface
    public interface Partition {
        boolean separates(VirtualTime.Process from, String endpoint);
    }

    /**
     * What becomes of one request beside the ordinary delay; microseconds, 0 for never.
     *
     * @param delayMicros it gets no answer in its sender's time and is carried out so much later, after newer ones of the same sender
     * @param duplicateAfterMicros a copy of it arrives so much later, whose answer nobody hears
     * @param responseLost it is carried out, and its answer is lost
     */
    public record MessageFault(long delayMicros, long duplicateAfterMicros, boolean responseLost) {
        public static final MessageFault NONE = new MessageFault(0, 0, false);
        /** The request is carried out, and its response is lost. */
        public static final MessageFault RESPONSE_LOST = new MessageFault(0, 0, true);

        /** The request gets no response and is carried out so much later. */
        static MessageFault delayed(long micros) {
            return new MessageFault(micros, 0, false);
        }

        /** A copy of the request arrives so much later. */
        static MessageFault duplicated(long micros) {
            return new MessageFault(0, micros, false);
        }
    }

    /** Draws the fate of each request, null where it has nothing to say. */
    @FunctionalInterface
    public interface MessageFaults {
        MessageFault faultOf(VirtualTime.Process from, String endpoint, String path);
    }

    /** What listens at an endpoint. */
    private record Host(VirtualTime.Process process, Consumer<Request> handler) {}

    private static final long LEAST_DELAY_MICROS = 200;
    private static final int DELAY_MICROS = 3_000;
    private static final int LATE_SECONDS = 40;

    private final VirtualTime time;
    private final Random random;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Set<InFlightRequest> calls = new LinkedHashSet<>();
    private double lost;
    private double late;
    private final Map<String, Long> setResponseDelay = new HashMap<>();
    private Observer observer;
    /** Null unless the messages are recorded. */
    private Recorder recorder;

    private Partition setPartition = (from, endpoint) -> false;
    private final List<MessageFaults> addFaults = new ArrayList<>();

    public VirtualNetwork(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    /**
     * @param lostAnswers share of the requests that are carried out and whose answers are lost
     * @param lateRequests share that arrives only after its sender has given up, up to 40 s later
     */
    public void setLossRates(double lostAnswers, double lateRequests) {
        lost = lostAnswers;
        late = lateRequests;
    }

    /** Answers of what listens there take longer from now on, each by up to so many microseconds; 0 for no longer. */
    public void setResponseDelay(String endpoint, long mostMicros) {
        setResponseDelay.put(endpoint, mostMicros);
    }

    /** From now on what crosses it is lost, requests and answers alike. */
    public void setPartition(Partition now) {
        setPartition = now;
    }

    /** From now on, until {@link #removeFaults}; the first that has something to say decides. */
    public void addFaults(MessageFaults each) {
        addFaults.add(each);
    }

    public void removeFaults(MessageFaults each) {
        addFaults.remove(each);
    }

    private MessageFault fate(VirtualTime.Process from, String endpoint, String path) {
        for (MessageFaults each : addFaults) {
            MessageFault fate = each.faultOf(from, endpoint, path);
            if (fate != null) {
                return fate;
            }
        }
        return MessageFault.NONE;
    }

    public void observe(Observer each) {
        observer = each;
    }

    public void record(Recorder every) {
        recorder = every;
    }

    public void listen(String endpoint, VirtualTime.Process process, Consumer<Request> handler) {
        hosts.put(endpoint, new Host(process, handler));
    }

    /** What a process has sent may still arrive; what it was asked is answered by nobody. */
    public void processEnded(VirtualTime.Process process) {
        for (InFlightRequest call : List.copyOf(calls)) {
            if (call.at == process) {
                call.reply(Reply.UNANSWERED);
            }
        }
    }

    public Http from(VirtualTime.Process process, String endpoint) {
        return new Http() {
            @Override
            public void get(String path, long timeoutMicros, Consumer<Reply> then) {
                new InFlightRequest(process, endpoint, "GET", path, new byte[0], then).send(timeoutMicros);
            }

            @Override
            public void post(String path, byte[] body, long timeoutMicros, Consumer<Reply> then) {
                new InFlightRequest(process, endpoint, "POST", path, body, then).send(timeoutMicros);
            }

            @Override
            public void delete(String path, long timeoutMicros, Consumer<Reply> then) {
                new InFlightRequest(process, endpoint, "DELETE", path, new byte[0], then).send(timeoutMicros);
            }
        };
    }

    private long delay() {
        return LEAST_DELAY_MICROS + random.nextInt(DELAY_MICROS);
    }

    private final class InFlightRequest implements Request {
        private final VirtualTime.Process from;
        private final String endpoint;
        private final String method;
        private final String path;
        private final byte[] body;
        private final Consumer<Reply> then;
        private VirtualTime.Process at;
        private boolean over;
        private boolean unheard;

        InFlightRequest(
                VirtualTime.Process from,
                String endpoint,
                String method,
                String path,
                byte[] body,
                Consumer<Reply> then) {
            this.from = from;
            this.endpoint = endpoint;
            this.method = method;
            this.path = path;
            this.body = body;
            this.then = then;
        }

        void send(long timeoutMicros) {
            calls.add(this);
            if (recorder != null) {
                recorder.request(time.now(), method, endpoint, path, body);
            }
            if (observer != null) {
                observer.requestSent(from, endpoint, path);
            }
            boolean arrivesLate = random.nextDouble() < late;
            MessageFault fate = fate(from, endpoint, path);
            unheard = fate.responseLost();
            if (fate.duplicateAfterMicros() > 0) {
                InFlightRequest copy = new InFlightRequest(from, endpoint, method, path, body, reply -> {});
                copy.over = true;
                time.at(time.now() + fate.duplicateAfterMicros(), copy::arrive);
            }
            time.at(
                    time.now()
                            + (fate.delayMicros() > 0
                                    ? Math.max(timeoutMicros, fate.delayMicros())
                                    : arrivesLate
                                            ? timeoutMicros + random.nextInt(LATE_SECONDS) * Micros.SECOND
                                            : delay()),
                    this::arrive);
            time.at(time.now() + timeoutMicros, () -> reply(Reply.UNANSWERED));
        }

        private void arrive() {
            if (setPartition.separates(from, endpoint)) {
                return;
            }
            Host host = hosts.get(endpoint);
            if (host == null || host.process().hasEnded()) {
                time.at(time.now() + delay(), () -> reply(Reply.NOT_SENT));
                return;
            }
            at = host.process();
            at.execute(() -> host.handler().accept(this));
        }

        void reply(Reply reply) {
            if (!over) {
                over = true;
                calls.remove(this);
                from.execute(() -> then.accept(reply));
            }
        }

        @Override
        public String method() {
            return method;
        }

        @Override
        public String path() {
            return path;
        }

        @Override
        public byte[] body() {
            return body;
        }

        @Override
        public void answer(int status, byte[] json, int retryAfterSeconds) {
            if (recorder != null) {
                recorder.response(time.now(), endpoint, path, status, json);
            }
            if (observer != null) {
                observer.responseSent(from, endpoint, path);
            }
            if (random.nextDouble() >= lost && !unheard && !setPartition.separates(from, endpoint)) {
                long longer = setResponseDelay.getOrDefault(endpoint, 0L);
                long extra = longer == 0 ? 0 : (long) (random.nextDouble() * longer);
                time.at(time.now() + delay() + extra, () -> reply(new Reply(status, json, true)));
            }
        }

        @Override
        public void answerAndClose(int status, byte[] json, int retryAfterSeconds) {
            answer(status, json, retryAfterSeconds);
        }
    }
}
