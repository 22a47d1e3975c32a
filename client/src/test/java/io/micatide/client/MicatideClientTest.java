package io.micatide.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.client.Transport.Answer;
import io.micatide.client.model.Job;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls against a service in virtual time: what is repeated, when, how often, and what is left behind. */
class MicatideClientTest {
    private static final Duration MINUTE = Duration.ofSeconds(60);
    private static final String[] URLS = {"c0", "c1", "c2"};

    private record Due(long at, long number, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** Time that passes when there is nothing left to do. */
    private static final class VirtualTicker implements Ticker {
        final PriorityQueue<Due> due = new PriorityQueue<>();
        long now = 1;
        long number;

        @Override
        public long now() {
            return now;
        }

        @Override
        public Runnable after(long delayMicros, Runnable what) {
            Due each = new Due(now + delayMicros, number++, what);
            due.add(each);
            return () -> due.remove(each);
        }

        void run(long micros) {
            long end = now + micros;
            while (!due.isEmpty() && due.peek().at() <= end) {
                Due next = due.poll();
                now = next.at();
                next.what().run();
            }
            now = end;
        }
    }

    /** A controller's answer, by endpoint and call; null for none. */
    @FunctionalInterface
    private interface Service {
        Answer answer(String endpoint, Transport.Call call);
    }

    /** Takes 10 ms for an answer, the whole time for none. */
    private static final class FakeTransport implements Transport {
        final VirtualTicker ticker;
        final Service service;
        final List<Long> sent = new ArrayList<>();
        final List<String> endpoints = new ArrayList<>();
        final Set<CompletableFuture<Answer>> open = new HashSet<>();

        FakeTransport(VirtualTicker ticker, Service service) {
            this.ticker = ticker;
            this.service = service;
        }

        @Override
        public CompletableFuture<Answer> send(String endpoint, Call call, long timeoutMicros) {
            sent.add(ticker.now());
            endpoints.add(endpoint);
            CompletableFuture<Answer> future = new CompletableFuture<>();
            open.add(future);
            Answer answer = service.answer(endpoint, call);
            Runnable back = ticker.after(
                    answer == null ? timeoutMicros : 10_000,
                    () -> future.complete(answer == null ? Answer.none("no answer in time") : answer));
            future.whenComplete((told, failure) -> {
                open.remove(future);
                back.run();
            });
            return future;
        }
    }

    private final VirtualTicker ticker = new VirtualTicker();
    private FakeTransport transport;

    private MicatideClient client(int endpoints, Service service) {
        transport = new FakeTransport(ticker, service);
        return new MicatideClient(List.of(URLS).subList(0, endpoints), transport, ticker, new Random(1));
    }

    private static Answer ok(String standing) {
        return new Answer(200, standing, 0, 0, 0, null, null);
    }

    private static Answer status(int status, int retryAfterSeconds) {
        return new Answer(status, null, 0, 0, retryAfterSeconds * 1_000_000L, "legs", "says why");
    }

    private static Job job(String id) {
        return new Job().nameId(id);
    }

    private static Throwable failure(CompletableFuture<?> call) {
        try {
            call.join();
            return null;
        } catch (CompletionException e) {
            return e.getCause();
        }
    }

    /** Status, how often it comes before 200, tries within a minute, and how the call ends. */
    @ParameterizedTest
    @CsvSource({
        "200, 0, 1, Standing", "201, 0, 1, Standing", "400, 9, 1, Refused", "422, 9, 1, Refused", "404, 9, 1, Unknown",
        "429, 2, 3, Standing", "503, 2, 3, Standing", "504, 3, 4, Standing", "500, 1, 2, Standing",
                "302, 1, 2, Standing",
        "0, 2, 3, Standing", "0, 99, 0, GaveUp", "503, 99, 0, GaveUp",
    })
    void whatIsRepeated(int status, int times, int tries, String end) {
        int[] left = {times};
        MicatideClient client =
                client(2, (endpoint, call) -> left[0]-- <= 0 ? ok("queued") : status == 0 ? null : status(status, 0));
        CompletableFuture<Standing> call = client.submit(job("wk-1"), MINUTE);
        ticker.run(70_000_000);
        assertTrue(call.isDone());
        Throwable failure = failure(call);
        assertEquals(end, failure == null ? "Standing" : failure.getClass().getSimpleName());
        if (tries > 0) {
            assertEquals(tries, transport.sent.size());
        }
        for (int i = 1; i < transport.sent.size(); i++) {
            assertTrue(
                    transport.sent.get(i) - transport.sent.get(i - 1) >= 1_000_000, "a second or more between tries");
        }
        if (failure instanceof MicatideException.Refused refused) {
            assertEquals("legs", refused.field());
            assertEquals(status, refused.status());
        }
        assertEquals(0, client.load()[0]);
    }

    @ParameterizedTest
    @CsvSource({"30, 30", "2, 2", "300, 30"})
    void retryAfterIsKept(int asked, int kept) {
        int[] tries = {0};
        MicatideClient client = client(1, (endpoint, call) -> tries[0]++ == 0 ? status(503, asked) : ok("queued"));
        CompletableFuture<Standing> call = client.submit(job("wk-1"), MINUTE);
        ticker.run(60_000_000);
        assertTrue(call.isDone());
        long waited = transport.sent.get(1) - transport.sent.get(0);
        assertTrue(waited >= kept * 1_000_000L && waited < kept * 1_000_000L + 2_000_000, waited + " us");
    }

    /** Answers lost before or after the job was accepted, ten thousand times: accepted once each, and told so. */
    @Test
    void lostAnswersNeverAcceptTwice() {
        Random random = new Random(3);
        Map<String, Integer> accepted = new HashMap<>();
        MicatideClient client = client(3, (endpoint, call) -> {
            int place = random.nextInt(3);
            if (place == 0) {
                return null;
            }
            String id = ((Transport.Submit) call).job().getNameId();
            boolean known = accepted.containsKey(id);
            accepted.putIfAbsent(id, 1);
            return place == 1 ? null : new Answer(known ? 200 : 201, "queued", 0, 0, 0, null, null);
        });
        int told = 0;
        for (int i = 0; i < 10_000; i++) {
            CompletableFuture<Standing> call = client.submit(job("wk-" + i), Duration.ofSeconds(600));
            ticker.run(400_000_000);
            assertTrue(call.isDone(), "wk-" + i);
            if (failure(call) == null) {
                told++;
                assertTrue(accepted.containsKey("wk-" + i), "told accepted and is not");
            }
        }
        assertTrue(told > 9_900, told + " told");
    }

    /**
     * An outage of 20 s at 50 calls a second: with the budget the load is at most 1.3 times the ordinary one, and every call that
     * has time left is served once the outage is over.
     */
    @ParameterizedTest
    @CsvSource({"0", "429", "503"})
    void anOutageIsNotMultiplied(int status) {
        long from = 10_000_000;
        long to = 30_000_000;
        MicatideClient client = client(
                3,
                (endpoint, call) -> ticker.now() < from || ticker.now() >= to
                        ? ok("queued")
                        : status == 0 ? null : status(status, 0));
        List<CompletableFuture<Standing>> calls = new ArrayList<>();
        for (int i = 0; i < 60 * 50; i++) {
            calls.add(client.submit(job("wk-" + i), MINUTE));
            ticker.run(20_000);
        }
        ticker.run(60_000_000);
        long offered =
                transport.sent.stream().filter(at -> at >= from && at < to).count();
        assertTrue(offered <= 1.3 * 50 * 20, offered + " requests in 20 s of outage");
        long served = calls.stream().filter(call -> failure(call) == null).count();
        assertEquals(calls.size(), served);
    }

    /** A controller that does not answer is left alone, but for a try now and then. */
    @Test
    void aDeadControllerIsLeftAlone() {
        MicatideClient client = client(3, (endpoint, call) -> endpoint.equals("c0") ? null : ok("queued"));
        for (int i = 0; i < 600; i++) {
            client.submit(job("wk-" + i), MINUTE);
            ticker.run(100_000);
        }
        ticker.run(60_000_000);
        long dead = transport.endpoints.stream().filter("c0"::equals).count();
        assertTrue(dead >= 3 && dead < 120, dead + " of " + transport.endpoints.size());
    }

    /** Refused for overload, a client has fewer requests under way, and more again when it is served. */
    @Test
    void fewerAtOnceUnderOverload() {
        boolean[] overloaded = {true};
        int[] most = {0};
        MicatideClient[] client = new MicatideClient[1];
        client[0] = client(1, (endpoint, call) -> {
            most[0] = Math.max(most[0], client[0].load()[0]);
            return overloaded[0] ? status(429, 1) : ok("queued");
        });
        for (int i = 0; i < 400; i++) {
            client[0].submit(job("wk-" + i), Duration.ofSeconds(300));
        }
        ticker.run(5_000_000);
        assertTrue(most[0] <= 16, most[0] + " at once");
        assertTrue(client[0].load()[1] <= 4, "limit " + client[0].load()[1]);
        overloaded[0] = false;
        ticker.run(200_000_000);
        assertTrue(client[0].load()[1] > 8, "limit " + client[0].load()[1]);
        assertEquals(0, client[0].load()[0]);
    }

    /** Waiting by questions that fail, are late, or tell a word of a later service; the end is told once and for all. */
    @Test
    void waitingForTheEnd() {
        List<Answer> answers = new ArrayList<>(
                List.of(ok("queued"), status(503, 1), ok("resting"), ok("running"), ok("done"), ok("running")));
        MicatideClient client = client(2, (endpoint, call) -> answers.size() > 1 ? answers.remove(0) : answers.get(0));
        CompletableFuture<Standing> wait = client.await("wk-1", Duration.ofSeconds(120));
        ticker.run(60_000_000);
        assertTrue(wait.join().isDone());
        int asked = transport.sent.size();
        // What comes after the end is older, so it is not even asked for.
        assertTrue(client.ask("wk-1", MINUTE).join().isDone());
        assertTrue(client.abort("wk-1", MINUTE).join().isDone());
        assertEquals(asked, transport.sent.size());
        // A submission that was on its way learns it too.
        CompletableFuture<Standing> late = client.submit(job("wk-1"), MINUTE);
        ticker.run(1_000_000);
        assertTrue(late.join().isDone());
        assertInstanceOf(
                MicatideException.Unknown.class,
                failureOf(client(1, (endpoint, call) -> status(404, 0)).await("wk-2", MINUTE)));
        assertInstanceOf(
                MicatideException.GaveUp.class,
                failureOf(client(1, (endpoint, call) -> ok("running")).await("wk-3", MINUTE)));
    }

    private Throwable failureOf(CompletableFuture<?> call) {
        ticker.run(100_000_000);
        return failure(call);
    }

    /** Cancelled at any moment, a call leaves no request and no timer. */
    @ParameterizedTest
    @CsvSource({"submit", "await"})
    void aCancelledCallLeavesNothing(String kind) {
        for (int at = 0; at < 200; at++) {
            int[] asked = {0};
            MicatideClient client = client(
                    2,
                    (endpoint, call) -> ++asked[0] % 3 == 0
                            ? null
                            : asked[0] % 3 == 1
                                    ? status(503, 1)
                                    : kind.equals("await") ? ok("running") : status(429, 2));
            CompletableFuture<Standing> call =
                    kind.equals("submit") ? client.submit(job("wk-1"), MINUTE) : client.await("wk-1", MINUTE);
            ticker.run(at * 200_000L);
            if (!call.isDone()) {
                call.cancel(true);
                assertEquals(0, transport.open.size(), "requests after " + at);
                assertEquals(0, ticker.due.size(), "timers after " + at);
                assertEquals(0, client.load()[0], "under way after " + at);
            }
            ticker.run(100_000_000);
        }
    }
}
