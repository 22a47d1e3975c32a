package io.micatide.rollout;

import java.util.List;

/**
 * The changes of the stored state that this version knows. A new one is a line here, and whatever it writes has the row of the switches as a
 * condition; it may not be taken off this list while a deployment may have it above {@link FeatureStage#OFF}.
 */
public enum Feature {
    /** Jobs that need others, machines' names in short: the mark {@code job/layout}. Older than the switches, and without a way back. */
    NEEDS("needs", true, FeatureStage.OFF, FeatureStage.CLEAN),
    /** Final states in the archive: the manifest {@code job/history}. Likewise. */
    HISTORY("history", true, FeatureStage.OFF, FeatureStage.CLEAN),
    /** Bookings are written on condition of their own version and of a fence, so that no late write brings one back. */
    BOOKING_FENCE("booking-fence", false, FeatureStage.OFF, FeatureStage.READ, FeatureStage.ON),
    /** What a leader has learned is kept in rows under {@code learned/} for one that nobody told. */
    LEARNED("learned", false, FeatureStage.OFF, FeatureStage.READ, FeatureStage.ON),
    /** Machines that are given back are named in rows under {@code return/} before the cloud is asked, and no leader uses one that is. */
    RETURNS("returns", false, FeatureStage.OFF, FeatureStage.READ, FeatureStage.ON);

    private final String key;
    private final boolean mark;
    private final List<FeatureStage> stages;

    Feature(String key, boolean mark, FeatureStage... path) {
        this.key = key;
        this.mark = mark;
        this.stages = List.of(path);
    }

    /** Its name in the state service and for operators. */
    public String key() {
        return key;
    }

    /** Whether a row of its own tells its stage, which versions without switches read, instead of the row of the switches. */
    public boolean isMark() {
        return mark;
    }

    public List<FeatureStage> stages() {
        return stages;
    }

    /** The feature of that name, null if this version knows none. */
    public static Feature forKey(String key) {
        for (Feature each : values()) {
            if (each.key.equals(key)) {
                return each;
            }
        }
        return null;
    }

    /** The stage after this one, null after the last. */
    public FeatureStage stageAfter(FeatureStage now) {
        int at = stages.indexOf(now);
        return at >= 0 && at + 1 < stages.size() ? stages.get(at + 1) : null;
    }

    /** The stage before this one; null before the first, and of what is gone for good. */
    public FeatureStage stageBefore(FeatureStage now) {
        int at = stages.indexOf(now);
        return at > 0 && now != FeatureStage.CLEAN ? stages.get(at - 1) : null;
    }
}
