package io.micatide.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.openapitools.openapidiff.core.OpenApiCompare;
import org.openapitools.openapidiff.core.model.ChangedOpenApi;

/** The description as it is served against those that were released: clients that were made from an older one have to go on. */
class ApiDescriptionTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static String released(String version) throws IOException {
        try (InputStream in =
                ApiDescriptionTest.class.getResourceAsStream("/openapi/released/micatide-" + version + ".json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static ChangedOpenApi compare(String before, String after) {
        return OpenApiCompare.fromContents(before, after);
    }

    @ParameterizedTest
    @ValueSource(strings = "1.0.0")
    void servedDescriptionIsCompatibleWithReleasedOnes(String version) throws IOException {
        ChangedOpenApi changed =
                compare(released(version), new String(new ApiDescription().bytes(), StandardCharsets.UTF_8));
        assertTrue(changed.isCompatible(), () -> changed.getChangedOperations().toString());
    }

    /** That the check sees what would break one: a change of the served description each. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/components/schemas/Job/required|add|awaits",
                "/components/schemas/Job/properties/rank/enum|remove|3",
                "/components/schemas/Job/properties/legs/maximum|set|1000",
                "/components/schemas/Job/properties/cpus/type|text|string",
                "/components/schemas/Status/properties|drop|done",
                "/components/schemas/Accepted/required|remove|1",
                "/paths/~1v1~1jobs~1{nameId}|drop|get",
                "/paths/~1v1~1jobs/post/responses|drop|201",
            })
    void incompatibleChangeIsDetected(String at, String change, String what) throws IOException {
        JsonNode description = MAPPER.readTree(new ApiDescription().bytes());
        int slash = at.lastIndexOf('/');
        JsonNode place = description.at(at);
        ObjectNode parent = (ObjectNode) description.at(at.substring(0, slash));
        switch (change) {
            case "add" -> ((ArrayNode) place).add(what);
            case "remove" -> ((ArrayNode) place).remove(Integer.parseInt(what));
            case "set" -> parent.put(at.substring(slash + 1), Integer.parseInt(what));
            case "text" -> parent.put(at.substring(slash + 1), what);
            default -> ((ObjectNode) place).remove(what);
        }
        assertEquals(
                List.of(false),
                List.of(compare(released("1.0.0"), description.toString()).isCompatible()),
                at);
    }
}
