package io.micatide.rollout;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The registered controllers and the operators' feature requests, as of one read of the records under {@link StoreKeys#ROLLOUT}. */
public final class ControllerRegistry {
    private final List<String> labels;
    private final Map<String, StoredRecord.RegisteredController> registeredControllers = new TreeMap<>();
    private final Map<String, Long> versions = new TreeMap<>();
    private final Map<String, StoredRecord.FeatureRequest> requests = new TreeMap<>();

    /**
     * Creates a registry without records.
     *
     * @param labels labels of all controllers of the deployment
     */
    public ControllerRegistry(List<String> labels) {
        this.labels = List.copyOf(labels);
    }

    /**
     * Adds a record under {@link StoreKeys#ROLLOUT}. A record that is neither a registration nor a feature request is ignored.
     *
     * @param key key of the record
     * @param record the record
     * @param version version of the record
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
     * Returns the registered controllers.
     *
     * @return a view of the registrations by label, in alphabetical order of the labels
     */
    public Map<String, StoredRecord.RegisteredController> registeredControllers() {
        return registeredControllers;
    }

    /**
     * Returns the action that an operator requests for a feature.
     *
     * @param feature any
     * @return the requested action, NONE if there is no request
     */
    public StoredRecord.RequestedAction requestedAction(Feature feature) {
        StoredRecord.FeatureRequest request = requests.get(feature.key());
        return request == null ? StoredRecord.RequestedAction.NONE : request.action();
    }

    /**
     * Returns the controllers that prevent a feature from moving to another stage: those not registered, or without support for it.
     *
     * @param feature any
     * @return label and reason for each of these controllers; empty if there is none
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
     * Returns the registered controllers that still act on another version of the feature stages.
     *
     * @param version the current version
     * @return label and reason for each of these controllers
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
     * Returns conditions by which the store rejects a transition if a controller has registered again since the records were read. They are not
     * needed for safety, which rests on the order of a transition and of the registrations before it (docs/rollout.md). They spare a
     * controller that has just been replaced by one of a previous version a transition that it may not support.
     *
     * @param max largest number of conditions that fit in the transaction
     * @return one condition for each registered controller of the deployment, at most {@code max}
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
