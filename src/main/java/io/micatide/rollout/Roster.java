package io.micatide.rollout;

import io.micatide.store.Row;
import io.micatide.store.StoreKeys;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Who is registered and what operators ask for, by one read of the rows. */
public final class Roster {
    private final List<String> labels;
    private final Map<String, Row.Here> here = new TreeMap<>();
    private final Map<String, Long> versions = new TreeMap<>();
    private final Map<String, Row.Ask> asked = new TreeMap<>();

    /** @param labels of all controllers of the deployment */
    public Roster(List<String> labels) {
        this.labels = List.copyOf(labels);
    }

    /** A row under {@link StoreKeys#ROLLOUT}. */
    public void add(String key, Row row, long version) {
        if (row instanceof Row.Here each) {
            String label = key.substring(StoreKeys.HERE.length());
            here.put(label, each);
            versions.put(label, version);
        } else if (row instanceof Row.Ask each) {
            asked.put(key.substring(StoreKeys.ASKED.length()), each);
        }
    }

    public Map<String, Row.Here> here() {
        return here;
    }

    /** What an operator asks for of a feature, NONE for nothing. */
    public Row.Wish asked(Feature feature) {
        Row.Ask ask = asked.get(feature.key());
        return ask == null ? Row.Wish.NONE : ask.wish();
    }

    /** What stands in the way of a step of a feature, by name; empty if nothing does. */
    public List<String> missing(Feature feature) {
        List<String> result = new ArrayList<>();
        for (String label : labels) {
            Row.Here each = here.get(label);
            if (each == null) {
                result.add(label + " is not registered");
            } else if (!each.knows().contains(feature.key())) {
                result.add(label + " (" + each.build() + ") does not know it");
            }
        }
        return result;
    }

    /** Controllers that still act by other switches than the version given, by name. */
    public List<String> behind(long version) {
        List<String> result = new ArrayList<>();
        for (String label : labels) {
            Row.Here each = here.get(label);
            if (each != null && each.acts() != version) {
                result.add(label + " has not taken in the last step");
            }
        }
        return result;
    }

    /**
     * That nobody registered anew since they were read, as many as there is room for. Not needed for safety, which rests on the order of a
     * step and what was said before it (docs/rollout.md), but spares a controller that was just replaced by a former version.
     */
    public List<Transaction.Compare> conditions(int most) {
        List<Transaction.Compare> result = new ArrayList<>();
        for (String label : labels) {
            if (versions.containsKey(label) && result.size() < most) {
                result.add(new Transaction.Compare(StoreKeys.here(label), versions.get(label)));
            }
        }
        return result;
    }
}
