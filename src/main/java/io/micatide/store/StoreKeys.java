package io.micatide.store;

/**
 * The keys of the store: one prefix per owner of the writes. Keys are made and taken apart here only.
 *
 * <p>All records that every controller has to read in one order stand under {@link #JOBS}. A controller of a former
 * version, to which such a record is no job, cannot read past it: started after a change of the stored form, it never
 * finishes reading, serves nobody and places nothing.
 */
public final class StoreKeys {
    /** The leader; the revision of its record is the fencing token. */
    public static final String LEADER = "leader";
    /** Machine types as last seen, so that a restart during a cloud outage can validate jobs. */
    public static final String MACHINE_TYPES = "types";
    /** Prefix of job records: put by any controller on submission, cancellation and completion. */
    public static final String JOBS = "job/";
    /** Says that every controller of the deployment was seen to run the present layout; read in order with the jobs. */
    public static final String LAYOUT = JOBS + "layout";
    /** The manifest of the archive of final states; read in order with the jobs. */
    public static final String ARCHIVE_MANIFEST = JOBS + "history";
    /** How far each change of the stored state has come; written by the leader alone, read in order with the jobs. */
    public static final String FEATURE_STAGES = JOBS + "features";
    /** Prefix of registrations and requests of operators: skipped by versions that do not know it. */
    public static final String ROLLOUT = "rollout/";
    /** Prefix of controllers' registrations, each attached to its lease; written by that controller alone. */
    public static final String CONTROLLERS = ROLLOUT + "here/";
    /** Prefix of what operators ask of features; written by the command line. */
    public static final String FEATURE_REQUESTS = ROLLOUT + "asked/";
    /** The fence of the provisioning requests; written by the leader alone. */
    public static final String PROVISIONING_FENCE = "fence";
    /** Prefix of machines to delete, named before the cloud is asked; written by the leader alone. */
    public static final String MACHINE_DELETIONS = "return/";
    /** Prefix of what leaders have learned; written by the leader alone. */
    public static final String LEARNED_STATE = "learned/";
    /** Prefix of the archive's segments, by run and number; written by the leader alone and never changed. */
    public static final String ARCHIVE_SEGMENTS = "history/";
    /** Prefix of the ledgers, which hold the progress of open jobs; written by the leader alone. */
    public static final String LEDGERS = "ledger/";
    /** Prefix of provisioning requests under way; written by the leader alone. */
    public static final String PROVISIONING_REQUESTS = "booking/";

    private static final String FURTHER_DEPENDENCIES = "/needs/";

    private StoreKeys() {}

    /**
     * Key of a job's record.
     *
     * @param id of the job
     * @return the key
     */
    public static String job(String id) {
        return JOBS + id;
    }

    /**
     * Key of the names of dependencies that a job's own record has no room for.
     *
     * @param id of the job
     * @param piece 1 and up
     * @return the key
     */
    public static String furtherDependencies(String id, int piece) {
        return JOBS + id + FURTHER_DEPENDENCIES + piece;
    }

    /**
     * Key of a segment. Numbers have as many digits as any run needs, so that a run's segments are listed in order.
     *
     * @param run name of the run
     * @param number of the segment, 0 and up
     * @return the key
     */
    public static String segment(String run, int number) {
        return ARCHIVE_SEGMENTS + run + "/" + String.format("%06d", number);
    }

    /**
     * Key of a page of a job's ledger.
     *
     * @param id of the job
     * @param page 0 for the ledger itself; further pages hold only finished ranges
     * @return the key
     */
    public static String ledger(String id, int page) {
        return page == 0 ? LEDGERS + id : LEDGERS + id + "/" + page;
    }

    /**
     * Key of a controller's registration.
     *
     * @param label of the controller
     * @return the key
     */
    public static String controller(String label) {
        return CONTROLLERS + label;
    }

    /**
     * Key of what an operator asks of a feature.
     *
     * @param feature key of the feature
     * @return the key
     */
    public static String featureRequest(String feature) {
        return FEATURE_REQUESTS + feature;
    }

    /**
     * Key of a record of machines to delete.
     *
     * @param fencingToken of the leader that writes it
     * @param number of the record within the term
     * @return the key
     */
    public static String machineDeletion(long fencingToken, int number) {
        return MACHINE_DELETIONS + fencingToken + "-" + number;
    }

    /**
     * Key of a provisioning request.
     *
     * @param name of the request
     * @return the key
     */
    public static String provisioningRequest(String name) {
        return PROVISIONING_REQUESTS + name;
    }

    /**
     * Whether a key is of a page of a ledger.
     *
     * @param key any key
     * @return true for pages of ledgers
     */
    public static boolean isLedger(String key) {
        return key.startsWith(LEDGERS);
    }

    /**
     * Whether a key is of a job's record; the records that are only read in order with the jobs count as such.
     *
     * @param key any key
     * @return true for job records
     */
    public static boolean isJob(String key) {
        return key.startsWith(JOBS) && !isFurtherDependencies(key);
    }

    /**
     * Whether a key is of further names of a job's dependencies.
     *
     * @param key any key
     * @return true for records of further dependencies
     */
    public static boolean isFurtherDependencies(String key) {
        return key.startsWith(JOBS) && key.indexOf('/', JOBS.length()) > 0;
    }

    /**
     * The job that a key belongs to.
     *
     * @param key of a job's record, of its further dependencies or of a page of its ledger
     * @return the id of the job
     * @throws IllegalArgumentException if it is another key
     */
    public static String jobIdOf(String key) {
        int start = idStart(key);
        int end = key.indexOf('/', start);
        return end < 0 ? key.substring(start) : key.substring(start, end);
    }

    private static int idStart(String key) {
        if (isLedger(key)) {
            return LEDGERS.length();
        }
        if (key.startsWith(JOBS)) {
            return JOBS.length();
        }
        throw new IllegalArgumentException("belongs to no job: " + key);
    }

    /**
     * The number of a ledger page.
     *
     * @param key of a page of a ledger
     * @return 0 for the first page
     * @throws NumberFormatException if it ends in no number of a page
     */
    public static int ledgerPageOf(String key) {
        int slash = key.indexOf('/', LEDGERS.length());
        return slash < 0 ? 0 : Integer.parseInt(key.substring(slash + 1));
    }

    /**
     * The number of a piece of further dependencies.
     *
     * @param key of further dependencies
     * @return 1 and up
     * @throws NumberFormatException if it ends in no number
     */
    public static int furtherDependenciesPieceOf(String key) {
        return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
    }
}
