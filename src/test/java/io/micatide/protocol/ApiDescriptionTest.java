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

/** Compares the served API description with the released ones: clients generated from a released description must keep working. */
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

    /** Guards against a comparison that misses incompatible changes: each row is one such change of the served description. */
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
    void incompatibleChangeIsDetected(String pointer, String change, String operand) throws IOException {
        JsonNode description = MAPPER.readTree(new ApiDescription().bytes());
        int slash = pointer.lastIndexOf('/');
        JsonNode target = description.at(pointer);
        ObjectNode parent = (ObjectNode) description.at(pointer.substring(0, slash));
        switch (change) {
            case "add" -> ((ArrayNode) target).add(operand);
            case "remove" -> ((ArrayNode) target).remove(Integer.parseInt(operand));
            case "set" -> parent.put(pointer.substring(slash + 1), Integer.parseInt(operand));
            case "text" -> parent.put(pointer.substring(slash + 1), operand);
            default -> ((ObjectNode) target).remove(operand);
        }
        assertEquals(
                List.of(false),
                List.of(compare(released("1.0.0"), description.toString()).isCompatible()),
                pointer);
    }
}
