package io.micatide.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micatide.client.generated.ApiClient;
import io.micatide.client.generated.ApiException;
import io.micatide.client.generated.api.DefaultApi;
import io.micatide.client.model.Accepted;
import io.micatide.client.model.Status;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Requests by the generated client, over the JDK's HTTP client. */
public final class HttpTransport implements Transport {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MICROS = 1_000_000;
    private static final Duration CONNECT = Duration.ofSeconds(2);
    private static final Duration ASK = Duration.ofSeconds(2);
    private static final Duration SUBMIT = Duration.ofSeconds(5);

    private final Map<String, DefaultApi> apis = new ConcurrentHashMap<>();
    private final Map<String, DefaultApi> questions = new ConcurrentHashMap<>();

    /** What a call leaves behind when it is given up ends by itself within the time that the protocol gives an answer. */
    private static DefaultApi api(String endpoint, Duration most) {
        ApiClient client = new ApiClient();
        client.setHttpClientBuilder(HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1));
        client.updateBaseUri(endpoint);
        client.setConnectTimeout(CONNECT);
        client.setReadTimeout(most);
        return new DefaultApi(client);
    }

    private DefaultApi api(String endpoint, Call call) {
        return call instanceof Ask
                ? questions.computeIfAbsent(endpoint, each -> api(each, ASK))
                : apis.computeIfAbsent(endpoint, each -> api(each, SUBMIT));
    }

    @Override
    public CompletableFuture<Answer> send(String endpoint, Call call, long timeoutMicros) {
        CompletableFuture<Answer> answer;
        try {
            DefaultApi api = api(endpoint, call);
            if (call instanceof Submit submit) {
                answer = api.submitJob(submit.job()).thenApply(HttpTransport::accepted);
            } else if (call instanceof Ask ask) {
                answer = api.getJob(ask.id()).thenApply(HttpTransport::status);
            } else {
                answer = api.abortJob(((Abort) call).id()).thenApply(HttpTransport::accepted);
            }
        } catch (ApiException e) {
            return CompletableFuture.completedFuture(Answer.none(String.valueOf(e.getMessage())));
        }
        CompletableFuture<Answer> request = answer;
        CompletableFuture<Answer> result = request.exceptionally(HttpTransport::failed)
                .completeOnTimeout(Answer.none("no answer in time"), timeoutMicros, TimeUnit.MICROSECONDS);
        result.whenComplete((told, failure) -> request.cancel(true));
        return result;
    }

    private static Answer accepted(Accepted told) {
        return new Answer(200, told.getStanding(), 0, 0, 0, null, null);
    }

    private static Answer status(Status told) {
        return new Answer(200, told.getStanding(), told.getDone(), told.getRunning(), 0, null, null);
    }

    private static Answer failed(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (!(cause instanceof ApiException e) || e.getCode() == 0) {
            return Answer.none(String.valueOf(cause.getMessage()));
        }
        long retryAfter = e.getResponseHeaders() == null
                ? 0
                : e.getResponseHeaders()
                                .firstValue("Retry-After")
                                .map(HttpTransport::seconds)
                                .orElse(0L)
                        * MICROS;
        String message = e.getResponseBody();
        String field = null;
        try {
            JsonNode body = MAPPER.readTree(e.getResponseBody() == null ? "" : e.getResponseBody());
            message = body.path("error").asText(message);
            field = body.path("field").asText(null);
        } catch (JsonProcessingException notJson) {
            // Something between here and the service answered; its words are all there is.
        }
        return new Answer(e.getCode(), null, 0, 0, retryAfter, field, message);
    }

    private static long seconds(String header) {
        try {
            return Math.max(0, Long.parseLong(header.trim()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
