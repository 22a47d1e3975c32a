package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SchemaLocation;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.oas.OpenApi30;
import io.micatide.protocol.ApiDescription;
import io.micatide.protocol.JobCodec;
import io.micatide.protocol.MalformedException;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The description, the code that reads submissions and what controllers answer over real sockets say the same: each field missing, null,
 * of a wrong type, at and over each limit, unknown fields and words, sent to every controller.
 */
class ApiContractTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonSchemaFactory SCHEMAS = JsonSchemaFactory.builder()
            .defaultMetaSchemaIri(OpenApi30.getInstance().getIri())
            .metaSchema(OpenApi30.getInstance())
            .build();
    /** 4.0 is a whole number, as in JSON itself. */
    private static final SchemaValidatorsConfig WHOLE =
            SchemaValidatorsConfig.builder().javaSemantics(true).build();

    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static LocalDeployment service;
    private static JsonNode description;
    private static int number;

    @BeforeAll
    static void start() throws Exception {
        service = LocalDeployment.start(2, 0, true);
        description = MAPPER.readTree(new ApiDescription().bytes());
        for (String endpoint : service.endpoints()) {
            // Refused connections and 503 until it serves; a submission is taken once the mark is there.
            while (status(endpoint, "/healthz") != 200) {
                Thread.onSpinWait();
            }
        }
    }

    @AfterAll
    static void stop() {
        service.close();
    }

    private static int status(String endpoint, String path) throws InterruptedException {
        try {
            return ask(endpoint, "GET", path, null).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private static HttpResponse<String> ask(String endpoint, String method, String path, String body)
            throws IOException, InterruptedException {
        return HTTP.send(
                HttpRequest.newBuilder(URI.create("http://" + endpoint + path))
                        .timeout(Duration.ofSeconds(10))
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Repeated as the description says, while the answer is 429 or 503. */
    private static HttpResponse<String> decided(String endpoint, String method, String path, String body)
            throws IOException, InterruptedException {
        HttpResponse<String> answer = ask(endpoint, method, path, body);
        for (int tries = 0; tries < 200 && (answer.statusCode() == 503 || answer.statusCode() == 429); tries++) {
            assertTrue(answer.headers().firstValue("Retry-After").isPresent(), "says when to come back");
            answer = ask(endpoint, method, path, body);
        }
        return answer;
    }

    private static JsonSchema schema(String name) {
        return SCHEMAS.getSchema(
                SchemaLocation.of("classpath:openapi/micatide-v1.json#/components/schemas/" + name), WHOLE);
    }

    /** What the description says of this answer: the status is listed, and the body is as it is described there. */
    private static void assertDescribed(String path, String method, HttpResponse<String> answer) throws IOException {
        JsonNode response = description
                .path("paths")
                .path(path)
                .path(method)
                .path("responses")
                .path(String.valueOf(answer.statusCode()));
        assertTrue(!response.isMissingNode(), method + " " + path + ": " + answer.statusCode() + " is not described");
        String reference = response.at("/content/application~1json/schema/$ref").asText();
        assertEquals(
                java.util.Set.of(),
                schema(reference.substring(reference.lastIndexOf('/') + 1)).validate(MAPPER.readTree(answer.body())),
                answer.body());
    }

    private static ObjectNode job() {
        ObjectNode job = (ObjectNode) description
                .at("/paths/~1v1~1jobs/post/requestBody/content/application~1json/example")
                .deepCopy();
        job.put("nameId", "wk-c" + ++number);
        job.put("crew", LocalDeployment.TEAM);
        job.put("form", "batch");
        job.put("legs", 1);
        job.put("cpus", 0.1);
        job.put("cards", 0.0);
        job.put("memGb", 0.1);
        job.put("samePlace", false);
        job.putNull("builds");
        job.put("runtimeS", 0.1);
        return job;
    }

    /** A submission and what is changed in it. */
    private record Case(String what, ObjectNode body) {}

    private static void add(List<Case> cases, String what, String field, JsonNode value) {
        ObjectNode body = job();
        if (value == null) {
            body.remove(field);
        } else {
            body.set(field, value);
        }
        cases.add(new Case(field + " " + what, body));
    }

    /** All cases that the schema of a job gives. */
    private static List<Case> cases() {
        JsonNodeFactory json = JsonNodeFactory.instance;
        List<Case> cases = new ArrayList<>();
        cases.add(new Case("as it is", job()));
        ObjectNode more = job();
        more.put("unknownField", 3).putObject("another").put("x", 1);
        cases.add(new Case("unknown fields", more));
        for (Map.Entry<String, JsonNode> property :
                description.at("/components/schemas/Job/properties").properties()) {
            String field = property.getKey();
            JsonNode schema = property.getValue();
            add(cases, "missing", field, null);
            add(cases, "null", field, json.nullNode());
            add(cases, "a list of numbers", field, json.arrayNode().add(3));
            add(cases, "an object", field, json.objectNode().put("a", 1));
            add(cases, "a word", field, json.textNode("word"));
            add(cases, "empty", field, json.textNode(""));
            add(cases, "a number", field, json.numberNode(1.5));
            add(cases, "a flag", field, json.booleanNode(true));
            for (JsonNode word : schema.path("enum")) {
                add(cases, "word " + word, field, word);
            }
            if (schema.has("minimum")) {
                add(cases, "least", field, json.numberNode(schema.get("minimum").asLong()));
                add(cases, "below", field, json.numberNode(schema.get("minimum").asLong() - 1));
                add(cases, "above", field, json.numberNode(schema.get("maximum").asLong() + 1));
            }
            if (field.equals("legs")) {
                add(cases, "most", field, json.numberNode(schema.get("maximum").asLong()));
                add(cases, "whole, with a point", field, json.numberNode(4.0));
            }
        }
        for (String id : List.of("wk-", "wk- 1", "wk-ö", "xk-1", "wk-" + "a".repeat(61))) {
            add(cases, "not an id", "nameId", json.textNode(id));
            add(cases, "not an id", "awaits", json.arrayNode().add(id));
        }
        add(cases, "of 60 letters", "nameId", json.textNode("wk-" + "a".repeat(60)));
        add(cases, "no names", "awaits", json.arrayNode());
        add(cases, "no types", "builds", json.arrayNode());
        add(cases, "an empty name", "builds", json.arrayNode().add(""));
        return cases;
    }

    private static boolean reads(ObjectNode body) {
        try {
            JobCodec.spec(body);
            return true;
        } catch (MalformedException e) {
            return false;
        }
    }

    @Test
    void submissionsAreReadAsDescribed() throws Exception {
        for (Case each : cases()) {
            boolean valid = schema("Job").validate(each.body()).isEmpty();
            assertEquals(valid, reads(each.body()), "described and read alike: " + each.what());
            for (String endpoint : service.endpoints()) {
                HttpResponse<String> answer =
                        decided(endpoint, "POST", "/v1/jobs", each.body().toString());
                assertDescribed("/v1/jobs", "post", answer);
                int status = answer.statusCode();
                assertTrue(
                        valid ? status == 200 || status == 201 || status == 422 : status == 400,
                        each.what() + ": " + status + " " + answer.body());
                if (status == 400 || status == 422) {
                    String field = each.what().substring(0, each.what().indexOf(' '));
                    String told = MAPPER.readTree(answer.body()).path("field").asText();
                    assertTrue(status == 422 || told.equals(field), each.what() + " is told of " + told);
                }
            }
        }
    }

    /** What is no submission at all. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"''|400", "[]|400", "3|400", "{|400", "null|400", "\"wk-1\"|400", "{}|400"})
    void bodiesThatAreNoJob(String body, int status) throws Exception {
        for (String endpoint : service.endpoints()) {
            HttpResponse<String> answer = decided(endpoint, "POST", "/v1/jobs", body.equals("''") ? "" : body);
            assertEquals(status, answer.statusCode(), body);
            assertDescribed("/v1/jobs", "post", answer);
        }
    }

    /** A body at the limit is read; one above it is answered 400 and the connection ends. */
    @Test
    void bodiesAtTheLimit() throws Exception {
        for (int over = 0; over < 2; over++) {
            ObjectNode job = job();
            job.put("padding", "");
            job.put("padding", "x".repeat(64 * 1024 - job.toString().length() + over));
            for (String endpoint : service.endpoints()) {
                HttpResponse<String> answer = decided(endpoint, "POST", "/v1/jobs", job.toString());
                assertEquals(
                        over == 0, answer.statusCode() < 300, "one byte over: " + over + ", " + answer.statusCode());
                assertDescribed("/v1/jobs", "post", answer);
            }
        }
    }

    /** Questions and cancellations, of jobs that are known, that nobody submitted, and that cannot be; other methods and paths. */
    @Test
    void questionsAreAnsweredAsDescribed() throws Exception {
        ObjectNode job = job();
        String id = job.path("nameId").asText();
        assertEquals(
                201,
                decided(service.endpoints().get(0), "POST", "/v1/jobs", job.toString())
                        .statusCode());
        for (String endpoint : service.endpoints()) {
            for (String each : List.of(id, "wk-nobody", "wk-%20", "nothing")) {
                int expected = each.equals(id) ? 200 : 404;
                HttpResponse<String> question = decided(endpoint, "GET", "/v1/jobs/" + each, null);
                assertEquals(expected, question.statusCode(), each);
                assertDescribed("/v1/jobs/{nameId}", "get", question);
                HttpResponse<String> abort = decided(endpoint, "POST", "/v1/jobs/" + each + "/abort", "");
                assertEquals(expected, abort.statusCode(), each);
                assertDescribed("/v1/jobs/{nameId}/abort", "post", abort);
                assertDescribed("/v1/jobs/{nameId}", "get", decided(endpoint, "DELETE", "/v1/jobs/" + each, null));
            }
            assertEquals(405, ask(endpoint, "GET", "/v1/jobs", null).statusCode());
            assertEquals(404, ask(endpoint, "GET", "/v2/jobs", null).statusCode());
            assertDescribed("/healthz", "get", ask(endpoint, "GET", "/healthz", null));
            HttpResponse<String> served = ask(endpoint, "GET", ApiDescription.PATH, null);
            assertArrayEquals(
                    new ApiDescription().bytes(), served.body().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    /** Needs: a job of long ago, one that is not there, one that was cancelled, a service. */
    @Test
    void needsAreAnsweredAsDescribed() throws Exception {
        String endpoint = service.endpoints().get(1);
        ObjectNode first = job();
        decided(endpoint, "POST", "/v1/jobs", first.toString());
        ObjectNode service = job();
        service.put("form", "daemon");
        decided(endpoint, "POST", "/v1/jobs", service.toString());
        ObjectNode gone = job();
        decided(endpoint, "POST", "/v1/jobs", gone.toString());
        decided(endpoint, "POST", "/v1/jobs/" + gone.path("nameId").asText() + "/abort", "");
        for (String[] each : new String[][] {
            {first.path("nameId").asText(), "201", "queued"},
            {"wk-never", "422", ""},
            {gone.path("nameId").asText(), "201", "withdrawn"},
            {service.path("nameId").asText(), "422", ""}
        }) {
            ObjectNode after = job();
            ArrayNode needs = after.putArray("awaits");
            needs.add(each[0]);
            HttpResponse<String> answer = decided(endpoint, "POST", "/v1/jobs", after.toString());
            assertEquals(each[1], String.valueOf(answer.statusCode()), each[0] + " " + answer.body());
            assertDescribed("/v1/jobs", "post", answer);
            if (!each[2].isEmpty()) {
                assertEquals(
                        each[2], MAPPER.readTree(answer.body()).path("standing").asText());
            } else {
                assertEquals(
                        "awaits", MAPPER.readTree(answer.body()).path("field").asText());
            }
        }
        decided(endpoint, "POST", "/v1/jobs/" + service.path("nameId").asText() + "/abort", "");
    }
}
