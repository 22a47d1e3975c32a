package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** Rows of the roll-out and of the features that came with it. None of them has a field {@code state}, which former versions ask job rows for. */
final class RolloutCodec {
    private RolloutCodec() {}

    static boolean isFor(String key) {
        return key.equals(StoreKeys.FEATURES)
                || key.startsWith(StoreKeys.ROLLOUT)
                || key.equals(StoreKeys.FENCE)
                || key.startsWith(StoreKeys.LEARNED)
                || key.startsWith(StoreKeys.RETURNS);
    }

    static void write(JsonGenerator out, StoredRecord row) throws IOException {
        if (row instanceof StoredRecord.Features features) {
            out.writeObjectFieldStart("features");
            for (Map.Entry<String, String> each : new TreeMap<>(features.stages()).entrySet()) {
                out.writeStringField(each.getKey(), each.getValue());
            }
            out.writeEndObject();
        } else if (row instanceof StoredRecord.Here here) {
            out.writeStringField("build", here.build());
            out.writeArrayFieldStart("knows");
            for (String name : here.knows()) {
                out.writeString(name);
            }
            out.writeEndArray();
            out.writeNumberField("acts", here.acts());
            out.writeNumberField("since", here.sinceWall());
        } else if (row instanceof StoredRecord.Ask ask) {
            out.writeStringField("wish", ask.wish().name());
        } else if (row instanceof StoredRecord.Fence fence) {
            out.writeNumberField("fence", fence.number());
        } else if (row instanceof StoredRecord.Returned returned) {
            out.writeArrayFieldStart("machines");
            for (String name : returned.machines()) {
                out.writeString(name);
            }
            out.writeEndArray();
        } else if (row instanceof StoredRecord.Learned learned) {
            HintCodec.write(out, learned.hints());
        }
    }

    static StoredRecord row(String key, JsonFields in, JsonNode data) throws MalformedException {
        if (key.equals(StoreKeys.FEATURES)) {
            Map<String, String> stages = new TreeMap<>();
            for (Map.Entry<String, JsonNode> feature : data.path("features").properties()) {
                stages.put(feature.getKey(), feature.getValue().asText());
            }
            return new StoredRecord.Features(stages);
        }
        if (key.startsWith(StoreKeys.HERE)) {
            return new StoredRecord.Here(
                    in.text("build"),
                    in.texts("knows"),
                    in.count("acts", 0, Long.MAX_VALUE),
                    in.count("since", 0, Long.MAX_VALUE));
        }
        if (key.startsWith(StoreKeys.ASKED)) {
            String word = in.text("wish");
            for (StoredRecord.Wish each : StoredRecord.Wish.values()) {
                if (each.name().equals(word)) {
                    return new StoredRecord.Ask(each);
                }
            }
            // Of a later version: what this one does not understand it does not do.
            return new StoredRecord.Ask(StoredRecord.Wish.HOLD);
        }
        if (key.equals(StoreKeys.FENCE)) {
            return new StoredRecord.Fence(in.count("fence", 0, Long.MAX_VALUE));
        }
        if (key.startsWith(StoreKeys.RETURNS)) {
            return new StoredRecord.Returned(in.texts("machines"));
        }
        if (key.startsWith(StoreKeys.LEARNED)) {
            return new StoredRecord.Learned(HintCodec.hints(data));
        }
        throw new MalformedException(key, "is not a key of micatide");
    }
}
