package io.micatide.store;

/** The layout of the state service: one prefix per owner of the writes. */
public final class StoreKeys {
    /** Who leads; its revision is the token. */
    public static final String LEADER = "leader";
    /** Machine types as last seen, so that a restart during a cloud outage can validate jobs. */
    public static final String MACHINE_TYPES = "types";
    /** A job's description and final state: put by any controller on submission, cancellation and completion. */
    public static final String JOBS = "job/";
    /**
     * The mark that every controller of the deployment was seen to run the present layout. It stands among the job rows on
     * purpose: each controller reads it with them, and one of the former version, to which it is no job, cannot read past
     * it. So a former version that is started after the mark never finishes reading, serves nobody and places nothing.
     */
    public static final String LAYOUT = JOBS + "layout";
    /** The manifest of the archive of final states, among the job rows for the same reason as the mark. */
    public static final String ARCHIVE_MANIFEST = JOBS + "history";
    /**
     * How far each change of the stored state has come; written by the leader alone. Among the job rows for the same reason: it reaches each
     * controller in one order with them, and a version that knows no such row cannot read past it.
     */
    public static final String FEATURE_STAGES = JOBS + "features";
    /** Who is there and what operators ask for: passed over by versions that know nothing of it. */
    public static final String ROLLOUT = "rollout/";
    /** A controller's registration, attached to its lease; written by that controller alone. */
    public static final String CONTROLLERS = ROLLOUT + "here/";
    /** What an operator asks for of a feature; written by the command line. */
    public static final String FEATURE_REQUESTS = ROLLOUT + "asked/";
    /** The fence of the bookings; written by the leader alone. */
    public static final String PROVISIONING_FENCE = "fence";
    /** Machines that are given back, named before the cloud is asked; written by the leader alone. */
    public static final String MACHINE_DELETIONS = "return/";
    /** What leaders have learned; written by the leader alone. */
    public static final String LEARNED_STATE = "learned/";
    /** Segments of the archive, by run and number; written by the leader alone and never changed. */
    public static final String ARCHIVE_SEGMENTS = "history/";
    /** Progress of open jobs; written by the leader alone. */
    public static final String LEDGERS = "ledger/";
    /** Rentals under way; written by the leader alone. */
    public static final String PROVISIONING_REQUESTS = "booking/";

    private StoreKeys() {}

    public static String job(String id) {
        return JOBS + id;
    }

    /** Piece 1 and on of the names that a job needs and its own row has no room for. */
    public static String dependencies(String id, int piece) {
        return JOBS + id + "/needs/" + piece;
    }

    /** Numbers have as many digits as any run needs, so that a run's segments are listed in their order. */
    public static String segment(String run, int number) {
        return ARCHIVE_SEGMENTS + run + "/" + String.format("%06d", number);
    }

    /** Page 0 is the ledger itself; further pages hold only finished ranges. */
    public static String ledger(String id, int page) {
        return page == 0 ? LEDGERS + id : LEDGERS + id + "/" + page;
    }

    public static String controller(String label) {
        return CONTROLLERS + label;
    }

    public static String featureRequest(String feature) {
        return FEATURE_REQUESTS + feature;
    }

    public static String machineDeletion(long fencingToken, int number) {
        return MACHINE_DELETIONS + fencingToken + "-" + number;
    }

    public static String provisioningRequest(String name) {
        return PROVISIONING_REQUESTS + name;
    }
}
