package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Holds the shared Jackson mapper. Codecs use trees and streams only, since data binding by reflection slows down the start of the process. */
public final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();
    static final JsonFactory FACTORY = MAPPER.getFactory();

    private Json() {}

    /** Writes one JSON value. */
    @FunctionalInterface
    public interface ValueWriter {
        void write(JsonGenerator out) throws IOException;
    }

    public static byte[] bytes(ValueWriter body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            body.write(generator);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /** Parses a JSON value to a tree; empty input is malformed. */
    public static JsonNode tree(byte[] body) throws MalformedException {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node == null || node.isMissingNode()) {
                throw new MalformedException("body", "is empty");
            }
            return node;
        } catch (IOException e) {
            throw new MalformedException("body", "is not JSON");
        }
    }

    /** Receives one element of a list. */
    @FunctionalInterface
    interface ElementReader {
        void read(JsonNode element) throws MalformedException;
    }

    /**
     * Parses a JSON object except for one list, whose elements are parsed one by one, so that the trees of a long list are not in memory
     * together.
     *
     * @param body the object; empty input is malformed
     * @param list field with the list; a missing list, or a value that is not a list, has no elements
     * @param reader receives each element
     * @return the object without the list
     */
    static JsonNode treeWithoutList(byte[] body, String list, ElementReader reader) throws MalformedException {
        ObjectNode object = MAPPER.createObjectNode();
        try (JsonParser parser = FACTORY.createParser(body)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedException("body", "is not an object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String field = parser.currentName();
                boolean isList = parser.nextToken() == JsonToken.START_ARRAY && field.equals(list);
                if (!isList) {
                    object.set(field, MAPPER.<JsonNode>readTree(parser));
                    continue;
                }
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    reader.read(MAPPER.<JsonNode>readTree(parser));
                }
            }
            return object;
        } catch (IOException e) {
            throw new MalformedException("body", "is not JSON");
        }
    }

    /**
     * Encodes an error.
     *
     * @param field name of the field at fault, null if there is none
     * @param message text for the sender of the request
     * @return JSON
     */
    public static byte[] error(String field, String message) {
        return bytes(out -> {
            out.writeStartObject();
            out.writeStringField("error", message);
            if (field != null) {
                out.writeStringField("field", field);
            }
            out.writeEndObject();
        });
    }
}
