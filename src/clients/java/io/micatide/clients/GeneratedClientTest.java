package io.micatide.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SchemaLocation;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.oas.OpenApi30;
import io.micatide.generated.present.ApiClient;
import io.micatide.generated.present.ApiException;
import io.micatide.generated.present.api.DefaultApi;
import io.micatide.generated.present.model.Accepted;
import io.micatide.generated.present.model.Job;
import io.micatide.generated.present.model.Status;
import io.micatide.model.ExitCause;
import io.micatide.net.HttpServer;
import io.micatide.net.Request;
import io.micatide.simulation.LocalDeployment;
import io.micatide.simulation.SimulatedWorker;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Clients generated from the description, the present one and the first that was released, against a local service: what they are told is
 * what plain requests are told, and each job runs once.
 */
class GeneratedClientTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final int MOST_TRIES = 2_000;
    private static final Map<String, Integer> RUNS = new ConcurrentHashMap<>();

    private static LocalDeployment service;
    private static int number;

    @BeforeAll
    static void start() throws Exception {
        service = new LocalDeployment(2, 0, true, new SimulatedWorker.Witness() {
            @Override
            public void taskStarted(String task, long attempt, String machine) {
                RUNS.merge(task, 1, Integer::sum);
            }

            @Override
            public void taskEnded(String task, long attempt, String machine, ExitCause cause) {
                // Only starts are counted.
            }
        });
        for (String endpoint : service.endpoints()) {
            for (boolean up = false; !up; ) {
                try {
                    up = plain(endpoint, "GET", "/healthz", null).statusCode() == 200;
                } catch (IOException e) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    @AfterAll
    static void stop() {
        service.close();
    }

    private static HttpResponse<String> plain(String endpoint, String method, String path, String body)
            throws IOException, InterruptedException {
        return HTTP.send(
                HttpRequest.newBuilder(URI.create("http://" + endpoint + path))
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private static DefaultApi present(String endpoint) {
        ApiClient client = new ApiClient();
        client.updateBaseUri("http://" + endpoint);
        return new DefaultApi(client);
    }

    private static io.micatide.generated.first.api.DefaultApi first(String endpoint) {
        io.micatide.generated.first.ApiClient client = new io.micatide.generated.first.ApiClient();
        client.updateBaseUri("http://" + endpoint);
        return new io.micatide.generated.first.api.DefaultApi(client);
    }

    /** A call that says whether it is to be repeated. */
    @FunctionalInterface
    private interface Call<T> {
        T call() throws ApiException;
    }

    private static <T> T decided(Call<T> call) throws ApiException {
        for (int tries = 0; ; tries++) {
            try {
                return call.call();
            } catch (ApiException e) {
                if (e.getCode() != 503 && e.getCode() != 429 || tries == MOST_TRIES) {
                    throw e;
                }
            }
        }
    }

    private static Job job(int tasks) {
        return new Job()
                .nameId("wk-g" + ++number)
                .roster("demo")
                .crew(LocalDeployment.TEAM)
                .form(Job.FormEnum.BATCH)
                .rank(Job.RankEnum.NORMAL)
                .legs(tasks)
                .cpus(java.math.BigDecimal.valueOf(0.5))
                .cards(java.math.BigDecimal.ZERO)
                .memGb(java.math.BigDecimal.ONE)
                .kit("img-1")
                .sizeGb(java.math.BigDecimal.ZERO)
                .samePlace(false)
                .scatter(false)
                .loaners(true)
                .runtimeS(java.math.BigDecimal.valueOf(0.2))
                .halftimeS(java.math.BigDecimal.ZERO)
                .stowS(java.math.BigDecimal.ZERO);
    }

    /** The optional fields are left out. A job goes all its way, and each answer is what a plain request gets at the other controller. */
    @Test
    void aJobFromSubmissionToItsEnd() throws Exception {
        DefaultApi api = present(service.endpoints().get(0));
        Job job = job(3);
        assertNull(job.getBuilds());
        Accepted accepted = decided(() -> api.submitJob(job));
        assertEquals("queued", accepted.getStanding());
        Status status = decided(() -> api.getJob(job.getNameId()));
        for (int tries = 0; !status.getStanding().equals("done") && tries < MOST_TRIES; tries++) {
            status = decided(() -> api.getJob(job.getNameId()));
        }
        JsonNode plain = MAPPER.readTree(plain(service.endpoints().get(1), "GET", "/v1/jobs/" + job.getNameId(), null)
                .body());
        assertEquals(plain.path("standing").asText(), status.getStanding());
        assertEquals(plain.path("done").asInt(), status.getDone());
        assertEquals(3, status.getDone());
        // Long after, and again: the same end, and nothing runs anew.
        assertEquals("done", decided(() -> api.submitJob(job)).getStanding());
        assertEquals("done", decided(() -> api.abortJob(job.getNameId())).getStanding());
        for (int task = 0; task < 3; task++) {
            assertEquals(1, RUNS.get(job.getNameId() + "/" + task));
        }
    }

    /** A pipeline, by a field that the first description did not have; cancelled, all of it goes. */
    @Test
    void needsAndCancellation() throws Exception {
        DefaultApi api = present(service.endpoints().get(1));
        Job before = job(1).runtimeS(java.math.BigDecimal.valueOf(600));
        decided(() -> api.submitJob(before));
        Job after = job(1).addAwaitsItem(before.getNameId());
        assertEquals("queued", decided(() -> api.submitJob(after)).getStanding());
        assertEquals(
                "withdrawn", decided(() -> api.abortJob(before.getNameId())).getStanding());
        assertEquals("withdrawn", decided(() -> api.getJob(after.getNameId())).getStanding());
        assertNull(RUNS.get(after.getNameId() + "/0"));
    }

    /** Refusals: status and field are those of a plain request with the same body. */
    @ParameterizedTest
    @CsvSource({
        "nobody, 1, 1, 422",
        "demo, 0, 1, 400",
        "demo, 100001, 1, 400",
        "demo, 1, 1000000, 422",
        "demo, 1, -1, 400"
    })
    void refusalsAreThoseOfPlainRequests(String team, int tasks, int cpus, int status) throws Exception {
        Job job = job(tasks).crew(team).cpus(java.math.BigDecimal.valueOf(cpus));
        ApiException refused = assertThrows(
                ApiException.class,
                () -> decided(() -> present(service.endpoints().get(0)).submitJob(job)));
        HttpResponse<String> plain =
                plain(service.endpoints().get(1), "POST", "/v1/jobs", MAPPER.writeValueAsString(job));
        assertEquals(status, refused.getCode());
        assertEquals(status, plain.statusCode());
        assertEquals(MAPPER.readTree(plain.body()), MAPPER.readTree(refused.getResponseBody()));
        ApiException unknown = assertThrows(
                ApiException.class,
                () -> decided(() -> present(service.endpoints().get(0)).getJob(job.getNameId())));
        assertEquals(404, unknown.getCode());
    }

    /** A client of the first description at the present service. */
    @Test
    void anOlderClient() throws Exception {
        io.micatide.generated.first.api.DefaultApi api =
                first(service.endpoints().get(0));
        io.micatide.generated.first.model.Job job = new io.micatide.generated.first.ApiClient()
                .getObjectMapper()
                .readValue(MAPPER.writeValueAsString(job(2)), io.micatide.generated.first.model.Job.class);
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            try {
                if (api.submitJob(job).getStanding().equals("done")) {
                    break;
                }
            } catch (io.micatide.generated.first.ApiException e) {
                assertTrue(e.getCode() == 503 || e.getCode() == 429, e.getCode() + " " + e.getResponseBody());
            }
        }
        assertEquals("done", api.getJob(job.getNameId()).getStanding());
        assertEquals(2, api.getJob(job.getNameId()).getDone());
        assertEquals(
                Set.of(1), Set.copyOf(List.of(RUNS.get(job.getNameId() + "/0"), RUNS.get(job.getNameId() + "/1"))));
    }

    /** A present client at a service of the first description: what it sends without the new field is what that one reads. */
    @Test
    void anOlderService() throws Exception {
        AtomicReference<byte[]> sent = new AtomicReference<>();
        try (StandIn older = new StandIn(request -> {
            sent.set(request.body());
            request.answer(201, "{\"nameId\":\"wk-1\",\"standing\":\"queued\"}".getBytes(StandardCharsets.UTF_8));
        })) {
            assertEquals("queued", present(older.endpoint).submitJob(job(1)).getStanding());
        }
        JsonSchemaFactory schemas = JsonSchemaFactory.builder()
                .defaultMetaSchemaIri(OpenApi30.getInstance().getIri())
                .metaSchema(OpenApi30.getInstance())
                .build();
        assertEquals(
                Set.of(),
                schemas.getSchema(
                                SchemaLocation.of(
                                        "classpath:openapi/released/micatide-1.0.0.json#/components/schemas/Job"),
                                SchemaValidatorsConfig.builder()
                                        .javaSemantics(true)
                                        .build())
                        .validate(MAPPER.readTree(sent.get())));
    }

    /** A later service says more than both descriptions know: fields and words are passed on or over, nothing fails. */
    @Test
    void aLaterService() throws Exception {
        try (StandIn later = new StandIn(request -> request.answer(
                200,
                ("{\"nameId\":\"wk-1\",\"standing\":\"resting\",\"done\":1," + "\"running\":0,\"place\":{\"rack\":3}}")
                        .getBytes(StandardCharsets.UTF_8)))) {
            assertEquals("resting", present(later.endpoint).getJob("wk-1").getStanding());
            assertEquals("resting", first(later.endpoint).getJob("wk-1").getStanding());
            assertEquals("resting", present(later.endpoint).submitJob(job(1)).getStanding());
        }
    }

    /** A refusal that says when to come back: the generated client hands it on. */
    @Test
    void whenToComeBackIsHandedOn() throws Exception {
        try (StandIn busy = new StandIn(request ->
                request.answer(429, "{\"error\":\"too many requests\"}".getBytes(StandardCharsets.UTF_8), 30))) {
            ApiException refused = assertThrows(
                    ApiException.class, () -> present(busy.endpoint).submitJob(job(1)));
            assertEquals(429, refused.getCode());
            assertEquals(
                    "30", refused.getResponseHeaders().firstValue("Retry-After").orElse(null));
        }
    }

    /** A service that answers as it is told. */
    private static final class StandIn implements AutoCloseable {
        final String endpoint;
        private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

        StandIn(java.util.function.Consumer<Request> handler) throws IOException, InterruptedException {
            EventLoop loop = group.next();
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                endpoint = "127.0.0.1:" + free.getLocalPort();
            }
            new HttpServer(handler::accept, 100).bind(loop, endpoint).sync();
        }

        @Override
        public void close() {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
