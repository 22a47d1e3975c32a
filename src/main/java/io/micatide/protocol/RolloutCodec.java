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
        return key.equals(StoreKeys.FEATURE_STAGES)
                || key.startsWith(StoreKeys.ROLLOUT)
                || key.equals(StoreKeys.PROVISIONING_FENCE)
                || key.startsWith(StoreKeys.LEARNED_STATE)
                || key.startsWith(StoreKeys.MACHINE_DELETIONS);
    }

    static void write(JsonGenerator out, StoredRecord row) throws IOException {
        if (row instanceof StoredRecord.FeatureStages features) {
            out.writeObjectFieldStart("features");
            for (Map.Entry<String, String> each : new TreeMap<>(features.stages()).entrySet()) {
                out.writeStringField(each.getKey(), each.getValue());
            }
            out.writeEndObject();
        } else if (row instanceof StoredRecord.RegisteredController here) {
            out.writeStringField("build", here.build());
            out.writeArrayFieldStart("knows");
            for (String name : here.knownFeatures()) {
                out.writeString(name);
            }
            out.writeEndArray();
            out.writeNumberField("acts", here.actingOnVersion());
            out.writeNumberField("since", here.startedWall());
        } else if (row instanceof StoredRecord.FeatureRequest ask) {
            out.writeStringField("wish", ask.action().name());
        } else if (row instanceof StoredRecord.ProvisioningFence fence) {
            out.writeNumberField("fence", fence.number());
        } else if (row instanceof StoredRecord.MachinesToDelete returned) {
            out.writeArrayFieldStart("machines");
            for (String name : returned.machines()) {
                out.writeString(name);
            }
            out.writeEndArray();
        } else if (row instanceof StoredRecord.LearnedState learned) {
            HintCodec.write(out, learned.hints());
        }
    }

    static StoredRecord row(String key, JsonFields in, JsonNode data) throws MalformedException {
        if (key.equals(StoreKeys.FEATURE_STAGES)) {
            Map<String, String> stages = new TreeMap<>();
            for (Map.Entry<String, JsonNode> feature : data.path("features").properties()) {
                stages.put(feature.getKey(), feature.getValue().asText());
            }
            return new StoredRecord.FeatureStages(stages);
        }
        if (key.startsWith(StoreKeys.CONTROLLERS)) {
            return new StoredRecord.RegisteredController(
                    in.text("build"),
                    in.texts("knows"),
                    in.count("acts", 0, Long.MAX_VALUE),
                    in.count("since", 0, Long.MAX_VALUE));
        }
        if (key.startsWith(StoreKeys.FEATURE_REQUESTS)) {
            String word = in.text("wish");
            for (StoredRecord.RequestedAction each : StoredRecord.RequestedAction.values()) {
                if (each.name().equals(word)) {
                    return new StoredRecord.FeatureRequest(each);
                }
            }
            // Of a later version: what this one does not understand it does not do.
            return new StoredRecord.FeatureRequest(StoredRecord.RequestedAction.HOLD);
        }
        if (key.equals(StoreKeys.PROVISIONING_FENCE)) {
            return new StoredRecord.ProvisioningFence(in.count("fence", 0, Long.MAX_VALUE));
        }
        if (key.startsWith(StoreKeys.MACHINE_DELETIONS)) {
            return new StoredRecord.MachinesToDelete(in.texts("machines"));
        }
        if (key.startsWith(StoreKeys.LEARNED_STATE)) {
            return new StoredRecord.LearnedState(HintCodec.hints(data));
        }
        throw new MalformedException(key, "is not a key of micatide");
    }
}
