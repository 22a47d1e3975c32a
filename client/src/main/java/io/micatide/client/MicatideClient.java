package io.micatide.client;

import io.micatide.client.Transport.Answer;
import io.micatide.client.model.Job;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Submits jobs, waits for their ends and cancels them. A call is repeated as the description allows, at another controller where there is one,
 * within its own time and the budget that all calls share; since a job's id names the effect, a repeated submission never runs twice. What was
 * told to be over stays so, whatever a later answer says.
 *
 * <p>Calls return at once. Their futures end with a {@link MicatideException}; cancelling one gives its requests and timers up. Safe for any
 * thread.
 */
public final class MicatideClient {
    /** How long one request waits, by the protocol. */
    private static final long SUBMIT_MICROS = 5_000_000;

    private static final long ASK_MICROS = 2_000_000;
    /** How often a job that is waited for is asked after. */
    private static final long POLL_MICROS = 5_000_000;

    private static final int REMEMBERED = 10_000;
    private static final int FIRST_LIMIT = 16;
    private static final int MOST_LIMIT = 256;
    private static final double BUDGET_SHARE = 0.2;
    private static final double BUDGET_SECOND = 0.2;
    private static final double BUDGET_MOST = 20;
    private static final int OVERLOADED = 429;
    private static final int UNAVAILABLE = 503;

    private final List<String> endpoints;
    private final List<Breaker> breakers = new ArrayList<>();
    private final Transport transport;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final RetryBudget budget;
    private final CallLimit limit = new CallLimit(FIRST_LIMIT, MOST_LIMIT);
    private final Map<String, Standing> over = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Standing> eldest) {
            return size() > REMEMBERED;
        }
    };
    private int next;

    /**
     * @param endpoints of controllers, as URLs; tried in turn
     * @param random safe for any thread, as {@link java.util.Random} is
     */
    public MicatideClient(List<String> endpoints, Transport transport, Ticker ticker, RandomGenerator random) {
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("endpoints: none is given");
        }
        this.endpoints = List.copyOf(endpoints);
        endpoints.forEach(each -> breakers.add(new Breaker()));
        this.transport = transport;
        this.ticker = ticker;
        this.random = random;
        this.budget = new RetryBudget(BUDGET_SHARE, BUDGET_SECOND, BUDGET_MOST, ticker.now());
    }

    /**
     * Submits a job, or learns how it stands if it is known already.
     *
     * @param within for the whole call, with all its repetitions
     */
    public CompletableFuture<Standing> submit(Job job, Duration within) {
        return new Attempts(new Transport.Submit(job), job.getNameId(), SUBMIT_MICROS, micros(within)).start();
    }

    /** How a job stands. What was told to be over is told again without a request. */
    public CompletableFuture<Standing> ask(String id, Duration within) {
        Standing known = remembered(id);
        return known != null
                ? CompletableFuture.completedFuture(known)
                : new Attempts(new Transport.Ask(id), id, ASK_MICROS, micros(within)).start();
    }

    /** Cancels a job; ends with withdrawn, or done if it was. */
    public CompletableFuture<Standing> abort(String id, Duration within) {
        Standing known = remembered(id);
        return known != null
                ? CompletableFuture.completedFuture(known)
                : new Attempts(new Transport.Abort(id), id, SUBMIT_MICROS, micros(within)).start();
    }

    /** Waits until a job is over, by asking every few seconds; a question that fails is one that is asked again. */
    public CompletableFuture<Standing> await(String id, Duration within) {
        Waiting waiting = new Waiting(id, ticker.now() + micros(within));
        waiting.ask();
        return waiting.result;
    }

    private static long micros(Duration within) {
        return within.toNanos() / 1_000;
    }

    private Standing remembered(String id) {
        synchronized (over) {
            return over.get(id);
        }
    }

    /** The first end that was told stays; anything else that comes after it is older. */
    private Standing newest(Standing told) {
        synchronized (over) {
            Standing known = over.get(told.id());
            if (known == null && told.over()) {
                over.put(told.id(), told);
            }
            return known != null ? known : told;
        }
    }

    /** How many requests are under way and how many may be, for whoever watches. */
    public int[] load() {
        return new int[] {limit.underWay(), limit.limit()};
    }

    /** The next controller that is worth a try; if none is, the next one all the same. */
    private synchronized int choose() {
        long now = ticker.now();
        for (int i = 0; i < endpoints.size(); i++) {
            int index = (next + i) % endpoints.size();
            if (breakers.get(index).allows(now)) {
                return index;
            }
        }
        return next;
    }

    private synchronized void leave(int index) {
        if (next == index) {
            next = (index + 1) % endpoints.size();
        }
    }

    /** A call with its repetitions. */
    private final class Attempts {
        private final Transport.Call call;
        private final String id;
        private final long timeoutMicros;
        private final long endMicros;
        private final CompletableFuture<Standing> result = new CompletableFuture<>();
        private final Runnable begin = this::send;
        private CompletableFuture<Answer> underWay;
        private Runnable timer = () -> {};
        private int tries;
        private Answer last = Answer.none("no try was made in time");

        Attempts(Transport.Call call, String id, long timeoutMicros, long withinMicros) {
            this.call = call;
            this.id = id;
            this.timeoutMicros = timeoutMicros;
            this.endMicros = ticker.now() + withinMicros;
        }

        CompletableFuture<Standing> start() {
            budget.firstTry(ticker.now());
            result.whenComplete((standing, failure) -> {
                if (result.isCancelled()) {
                    giveUp();
                }
            });
            limit.begin(begin);
            return result;
        }

        private synchronized void giveUp() {
            timer.run();
            if (!limit.forget(begin) && underWay != null) {
                underWay.cancel(true);
            }
        }

        private void send() {
            long now = ticker.now();
            long timeout = Math.min(timeoutMicros, endMicros - now);
            if (result.isDone() || timeout <= 0) {
                limit.ended(false, now);
                result.completeExceptionally(new MicatideException.GaveUp(tries, last.status(), last.message()));
                return;
            }
            int index = choose();
            breakers.get(index).begins();
            CompletableFuture<Answer> sent;
            synchronized (this) {
                tries++;
                sent = transport.send(endpoints.get(index), call, timeout);
                underWay = sent;
            }
            sent.whenComplete((answer, failure) -> answered(index, answer, sent.isCancelled()));
        }

        private void answered(int index, Answer answer, boolean cancelled) {
            long now = ticker.now();
            Breaker breaker = breakers.get(index);
            if (cancelled || answer == null) {
                breaker.givenUp();
                limit.ended(false, now);
                return;
            }
            last = answer;
            boolean served = answer.status() > 0 && (answer.status() < 500 || answer.status() == UNAVAILABLE);
            if (served) {
                breaker.succeeded();
            } else {
                breaker.failed(now);
            }
            if (served && answer.status() < UNAVAILABLE && answer.status() != OVERLOADED) {
                budget.served(now);
            }
            limit.ended(answer.status() == OVERLOADED || answer.status() == 0, now);
            switch (answer.status()) {
                case 200, 201 ->
                    result.complete(newest(new Standing(id, answer.standing(), answer.done(), answer.running())));
                case 400, 422 ->
                    result.completeExceptionally(
                            new MicatideException.Refused(answer.status(), answer.field(), answer.message()));
                case 404 -> result.completeExceptionally(new MicatideException.Unknown(id));
                default -> again(index, answer, now);
            }
        }

        private void again(int index, Answer answer, long now) {
            leave(index);
            long delay = Backoff.delay(tries, answer.retryAfterMicros(), random);
            if (now + delay >= endMicros) {
                result.completeExceptionally(new MicatideException.GaveUp(tries, answer.status(), answer.message()));
                return;
            }
            synchronized (this) {
                timer = ticker.after(delay, this::repeat);
            }
        }

        /** A repetition for which there is no budget waits once more: others of this client are before it. */
        private void repeat() {
            long now = ticker.now();
            if (result.isDone()) {
                return;
            }
            if (budget.take(now)) {
                limit.begin(begin);
                return;
            }
            long delay = Backoff.delay(tries, 0, random);
            if (now + delay >= endMicros) {
                result.completeExceptionally(new MicatideException.GaveUp(
                        tries, last.status(), "the budget for repetitions is used up; last: " + last.message()));
                return;
            }
            synchronized (this) {
                timer = ticker.after(delay, this::repeat);
            }
        }
    }

    /** A wait for the end of a job. */
    private final class Waiting {
        private final String id;
        private final long endMicros;
        private final CompletableFuture<Standing> result = new CompletableFuture<>();
        private CompletableFuture<Standing> asking;
        private Runnable timer = () -> {};
        private int questions;

        Waiting(String id, long endMicros) {
            this.id = id;
            this.endMicros = endMicros;
            result.whenComplete((standing, failure) -> {
                if (result.isCancelled()) {
                    giveUp();
                }
            });
        }

        private synchronized void giveUp() {
            timer.run();
            if (asking != null) {
                asking.cancel(true);
            }
        }

        void ask() {
            long now = ticker.now();
            if (result.isDone()) {
                return;
            }
            if (now >= endMicros) {
                result.completeExceptionally(new MicatideException.GaveUp(questions, 0, id + ": is not over yet"));
                return;
            }
            questions++;
            CompletableFuture<Standing> question =
                    MicatideClient.this.ask(id, Duration.ofNanos((endMicros - now) * 1_000));
            synchronized (this) {
                asking = question;
            }
            question.whenComplete(this::told);
        }

        private void told(Standing standing, Throwable failure) {
            if (failure instanceof MicatideException.Unknown) {
                result.completeExceptionally(failure);
            } else if (standing != null && standing.over()) {
                result.complete(standing);
            } else if (!result.isDone()) {
                // A little earlier or later than others that wait.
                long delay = POLL_MICROS * 3 / 4 + random.nextLong(POLL_MICROS / 2);
                long left = endMicros - ticker.now();
                synchronized (this) {
                    timer = ticker.after(Math.max(0, Math.min(delay, left)), this::ask);
                }
            }
        }
    }
}
