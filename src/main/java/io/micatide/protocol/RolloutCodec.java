package io.micatide.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes and decodes the records of the roll-out and of the features that came with it as JSON. None of them has a field
 * {@code state}, which previous versions require of job records.
 */
final class RolloutCodec {
    private RolloutCodec() {}

    /** Returns whether this codec reads and writes the record of the given key. */
    static boolean isFor(String key) {
        return key.equals(StoreKeys.FEATURE_STAGES)
                || key.startsWith(StoreKeys.ROLLOUT)
                || key.equals(StoreKeys.PROVISIONING_FENCE)
                || key.startsWith(StoreKeys.LEARNED_STATE)
                || key.startsWith(StoreKeys.MACHINE_DELETIONS);
    }

    /** Writes the fields of a record. Does nothing for a record of a kind that this codec does not handle. */
    static void write(JsonGenerator out, StoredRecord record) throws IOException {
        if (record instanceof StoredRecord.FeatureStages features) {
            out.writeObjectFieldStart("features");
            for (Map.Entry<String, String> feature : new TreeMap<>(features.stages()).entrySet()) {
                out.writeStringField(feature.getKey(), feature.getValue());
            }
            out.writeEndObject();
        } else if (record instanceof StoredRecord.RegisteredController controller) {
            out.writeStringField("build", controller.build());
            out.writeArrayFieldStart("knows");
            for (String name : controller.knownFeatures()) {
                out.writeString(name);
            }
            out.writeEndArray();
            out.writeNumberField("acts", controller.actingOnVersion());
            out.writeNumberField("since", controller.startedWall());
        } else if (record instanceof StoredRecord.FeatureRequest request) {
            out.writeStringField("wish", request.action().name());
        } else if (record instanceof StoredRecord.ProvisioningFence fence) {
            out.writeNumberField("fence", fence.number());
        } else if (record instanceof StoredRecord.MachinesToDelete deletions) {
            out.writeArrayFieldStart("machines");
            for (String name : deletions.machines()) {
                out.writeString(name);
            }
            out.writeEndArray();
        } else if (record instanceof StoredRecord.LearnedState learned) {
            HintCodec.write(out, learned.hints());
        }
    }

    /** Decodes the record of the given key. */
    static StoredRecord read(String key, JsonFields in, JsonNode data) throws MalformedException {
        if (key.equals(StoreKeys.FEATURE_STAGES)) {
            return featureStages(data);
        }
        if (key.startsWith(StoreKeys.CONTROLLERS)) {
            return new StoredRecord.RegisteredController(
                    in.text("build"),
                    in.texts("knows"),
                    in.count("acts", 0, Long.MAX_VALUE),
                    in.count("since", 0, Long.MAX_VALUE));
        }
        if (key.startsWith(StoreKeys.FEATURE_REQUESTS)) {
            return new StoredRecord.FeatureRequest(requestedAction(in.text("wish")));
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

    private static StoredRecord.FeatureStages featureStages(JsonNode data) {
        Map<String, String> stages = new TreeMap<>();
        for (Map.Entry<String, JsonNode> feature : data.path("features").properties()) {
            stages.put(feature.getKey(), feature.getValue().asText());
        }
        return new StoredRecord.FeatureStages(stages);
    }

    /** Decodes an action. One of a later version is read as HOLD, so that this version does not act on a request that it does not know. */
    private static StoredRecord.RequestedAction requestedAction(String name) {
        for (StoredRecord.RequestedAction action : StoredRecord.RequestedAction.values()) {
            if (action.name().equals(name)) {
                return action;
            }
        }
        return StoredRecord.RequestedAction.HOLD;
    }
}
