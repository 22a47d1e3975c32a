package io.micatide.rollout;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Who is registered and what operators ask for, by one read of the rows. */
public final class ControllerRegistry {
    private final List<String> labels;
    private final Map<String, StoredRecord.RegisteredController> registeredControllers = new TreeMap<>();
    private final Map<String, Long> versions = new TreeMap<>();
    private final Map<String, StoredRecord.FeatureRequest> requests = new TreeMap<>();

    /** @param labels of all controllers of the deployment */
    public ControllerRegistry(List<String> labels) {
        this.labels = List.copyOf(labels);
    }

    /** A row under {@link StoreKeys#ROLLOUT}. */
    public void add(String key, StoredRecord row, long version) {
        if (row instanceof StoredRecord.RegisteredController each) {
            String label = key.substring(StoreKeys.CONTROLLERS.length());
            registeredControllers.put(label, each);
            versions.put(label, version);
        } else if (row instanceof StoredRecord.FeatureRequest each) {
            requests.put(key.substring(StoreKeys.FEATURE_REQUESTS.length()), each);
        }
    }

    public Map<String, StoredRecord.RegisteredController> registeredControllers() {
        return registeredControllers;
    }

    /** What an operator asks for of a feature, NONE for nothing. */
    public StoredRecord.RequestedAction requestedAction(Feature feature) {
        StoredRecord.FeatureRequest ask = requests.get(feature.key());
        return ask == null ? StoredRecord.RequestedAction.NONE : ask.action();
    }

    /** What stands in the way of a step of a feature, by name; empty if nothing does. */
    public List<String> blockers(Feature feature) {
        List<String> result = new ArrayList<>();
        for (String label : labels) {
            StoredRecord.RegisteredController each = registeredControllers.get(label);
            if (each == null) {
                result.add(label + " is not registered");
            } else if (!each.knownFeatures().contains(feature.key())) {
                result.add(label + " (" + each.build() + ") does not know it");
            }
        }
        return result;
    }

    /** Controllers that still act by other switches than the version given, by name. */
    public List<String> controllersBehind(long version) {
        List<String> result = new ArrayList<>();
        for (String label : labels) {
            StoredRecord.RegisteredController each = registeredControllers.get(label);
            if (each != null && each.actingOnVersion() != version) {
                result.add(label + " has not taken in the last step");
            }
        }
        return result;
    }

    /**
     * That nobody registered anew since they were read, as many as there is room for. Not needed for safety, which rests on the order of a
     * step and what was said before it (docs/rollout.md), but spares a controller that was just replaced by a former version.
     */
    public List<Transaction.Condition> registrationConditions(int max) {
        List<Transaction.Condition> result = new ArrayList<>();
        for (String label : labels) {
            if (versions.containsKey(label) && result.size() < max) {
                result.add(new Transaction.Condition(StoreKeys.controller(label), versions.get(label)));
            }
        }
        return result;
    }
}
