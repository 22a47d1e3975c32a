package io.micatide.rollout;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The controllers that are registered and what operators request, as one read of the records shows them. */
public final class ControllerRegistry {
    private final List<String> labels;
    private final Map<String, StoredRecord.RegisteredController> registeredControllers = new TreeMap<>();
    private final Map<String, Long> versions = new TreeMap<>();
    private final Map<String, StoredRecord.FeatureRequest> requests = new TreeMap<>();

    /**
     * Makes a registry without records.
     *
     * @param labels of all controllers of the deployment
     */
    public ControllerRegistry(List<String> labels) {
        this.labels = List.copyOf(labels);
    }

    /**
     * Adds a record under {@link StoreKeys#ROLLOUT}; one of another kind is passed over.
     *
     * @param key its key
     * @param record the record
     * @param version its version
     */
    public void add(String key, StoredRecord record, long version) {
        if (record instanceof StoredRecord.RegisteredController controller) {
            String label = key.substring(StoreKeys.CONTROLLERS.length());
            registeredControllers.put(label, controller);
            versions.put(label, version);
        } else if (record instanceof StoredRecord.FeatureRequest request) {
            requests.put(key.substring(StoreKeys.FEATURE_REQUESTS.length()), request);
        }
    }

    /**
     * The registered controllers.
     *
     * @return a view by label, in the order of the labels
     */
    public Map<String, StoredRecord.RegisteredController> registeredControllers() {
        return registeredControllers;
    }

    /**
     * What an operator requests of a feature.
     *
     * @param feature any
     * @return NONE if there is no request
     */
    public StoredRecord.RequestedAction requestedAction(Feature feature) {
        StoredRecord.FeatureRequest request = requests.get(feature.key());
        return request == null ? StoredRecord.RequestedAction.NONE : request.action();
    }

    /**
     * Controllers that keep a feature from going forward.
     *
     * @param feature any
     * @return by label, with the reason; empty if nothing is in the way
     */
    public List<String> blockers(Feature feature) {
        List<String> blockers = new ArrayList<>();
        for (String label : labels) {
            StoredRecord.RegisteredController controller = registeredControllers.get(label);
            if (controller == null) {
                blockers.add(label + " is not registered");
            } else if (!controller.knownFeatures().contains(feature.key())) {
                blockers.add(label + " (" + controller.build() + ") does not know it");
            }
        }
        return blockers;
    }

    /**
     * Controllers that still act on another version of the feature stages.
     *
     * @param version the present one
     * @return by label, with the reason
     */
    public List<String> controllersBehind(long version) {
        List<String> behind = new ArrayList<>();
        for (String label : labels) {
            StoredRecord.RegisteredController controller = registeredControllers.get(label);
            if (controller != null && controller.actingOnVersion() != version) {
                behind.add(label + " has not taken in the last step");
            }
        }
        return behind;
    }

    /**
     * Conditions that nobody registered anew since the records were read. Not needed for safety, which rests on the order of a transition
     * and of what was registered before it (docs/rollout.md), but spares a controller that was just replaced by a former version.
     *
     * @param max how many there is room for
     * @return one for each registered controller of the deployment, at most {@code max}
     */
    public List<Transaction.Condition> registrationConditions(int max) {
        List<Transaction.Condition> conditions = new ArrayList<>();
        for (String label : labels) {
            if (versions.containsKey(label) && conditions.size() < max) {
                conditions.add(new Transaction.Condition(StoreKeys.controller(label), versions.get(label)));
            }
        }
        return conditions;
    }
}
