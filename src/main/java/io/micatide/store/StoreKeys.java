package io.micatide.store;

/**
 * Builds and parses the keys of the store. Each prefix has one kind of writer.
 *
 * <p>All records that every controller has to read in the same order are stored below {@link #JOBS}. This also stops controllers of a
 * previous version that are started after a change of the stored format: such a record is not a job to them, so they cannot read past it,
 * never finish loading, and neither serve requests nor place tasks.
 */
public final class StoreKeys {
    /** Key of the record that names the leader; the revision of the record is the fencing token. */
    public static final String LEADER = "leader";
    /** Key of the machine types as last received from the cloud, so that a controller restarted during a cloud outage can validate jobs. */
    public static final String MACHINE_TYPES = "types";
    /** Prefix of job records, which any controller writes on submission, cancellation and completion. */
    public static final String JOBS = "job/";
    /** Key of the layout that every controller of the deployment was found to support; read in the same order as the jobs. */
    public static final String LAYOUT = JOBS + "layout";
    /** Key of the manifest of the archive of final states; read in the same order as the jobs. */
    public static final String ARCHIVE_MANIFEST = JOBS + "history";
    /** Key of the rollout stage of each change of the stored format; written by the leader only, read in the same order as the jobs. */
    public static final String FEATURE_STAGES = JOBS + "features";
    /** Prefix of controller registrations and operator requests; versions that do not know it skip its keys. */
    public static final String ROLLOUT = "rollout/";
    /** Prefix of controller registrations, each attached to the lease of its controller and written by that controller only. */
    public static final String CONTROLLERS = ROLLOUT + "here/";
    /** Prefix of the requests of operators for features; written by the command line. */
    public static final String FEATURE_REQUESTS = ROLLOUT + "asked/";
    /** Key of the fence of the provisioning requests; written by the leader only. */
    public static final String PROVISIONING_FENCE = "fence";
    /** Prefix of machines to delete, recorded before the request to the cloud; written by the leader only. */
    public static final String MACHINE_DELETIONS = "return/";
    /** Prefix of the learned state of leaders; written by the leader only. */
    public static final String LEARNED_STATE = "learned/";
    /** Prefix of the archive's segments, by run and number; written by the leader only and never changed. */
    public static final String ARCHIVE_SEGMENTS = "history/";
    /** Prefix of the ledgers, which hold the progress of open jobs; written by the leader only. */
    public static final String LEDGERS = "ledger/";
    /** Prefix of provisioning requests in flight; written by the leader only. */
    public static final String PROVISIONING_REQUESTS = "booking/";

    private static final String FURTHER_DEPENDENCIES = "/needs/";

    private StoreKeys() {}

    /**
     * Returns the key of a job's record.
     *
     * @param id of the job
     * @return the key
     */
    public static String job(String id) {
        return JOBS + id;
    }

    /**
     * Returns the key of a record of dependencies that do not fit into the job's own record.
     *
     * @param id of the job
     * @param piece number of the record among those of the job, from 1
     * @return the key
     */
    public static String furtherDependencies(String id, int piece) {
        return JOBS + id + FURTHER_DEPENDENCIES + piece;
    }

    /**
     * Returns the key of an archive segment. Numbers are padded to the digits that the largest run needs, so that keys sort by number.
     *
     * @param run name of the run
     * @param number of the segment, from 0
     * @return the key
     */
    public static String segment(String run, int number) {
        return ARCHIVE_SEGMENTS + run + "/" + String.format("%06d", number);
    }

    /**
     * Returns the key of a page of a job's ledger.
     *
     * @param id of the job
     * @param page number of the page, 0 for the first one; the others hold finished ranges only
     * @return the key
     */
    public static String ledger(String id, int page) {
        return page == 0 ? LEDGERS + id : LEDGERS + id + "/" + page;
    }

    /**
     * Returns the key of a controller's registration.
     *
     * @param label of the controller
     * @return the key
     */
    public static String controller(String label) {
        return CONTROLLERS + label;
    }

    /**
     * Returns the key of an operator's request for a feature.
     *
     * @param feature key of the feature
     * @return the key
     */
    public static String featureRequest(String feature) {
        return FEATURE_REQUESTS + feature;
    }

    /**
     * Returns the key of a record of machines to delete.
     *
     * @param fencingToken of the leader that writes the record
     * @param number of the record within the term
     * @return the key
     */
    public static String machineDeletion(long fencingToken, int number) {
        return MACHINE_DELETIONS + fencingToken + "-" + number;
    }

    /**
     * Returns the key of a provisioning request.
     *
     * @param name of the request
     * @return the key
     */
    public static String provisioningRequest(String name) {
        return PROVISIONING_REQUESTS + name;
    }

    /**
     * Returns whether a key belongs to a page of a ledger.
     *
     * @param key any key
     * @return true for pages of ledgers
     */
    public static boolean isLedger(String key) {
        return key.startsWith(LEDGERS);
    }

    /**
     * Returns whether a key belongs to a job's record or to another record that is read in the same order as the jobs.
     *
     * @param key any key
     * @return true for all keys below {@link #JOBS} but those of further dependencies
     */
    public static boolean isJob(String key) {
        return key.startsWith(JOBS) && !isFurtherDependencies(key);
    }

    /**
     * Returns whether a key belongs to a record of further dependencies of a job.
     *
     * @param key any key
     * @return true for records of further dependencies
     */
    public static boolean isFurtherDependencies(String key) {
        return key.startsWith(JOBS) && key.indexOf('/', JOBS.length()) > 0;
    }

    /**
     * Returns the id of the job that a key belongs to.
     *
     * @param key of a job's record, of its further dependencies or of a page of its ledger
     * @return the id of the job
     * @throws IllegalArgumentException if the key is of another kind
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
        throw new IllegalArgumentException("expected a key of a job or a ledger, got " + key);
    }

    /**
     * Returns the number of a ledger page.
     *
     * @param key of a page of a ledger
     * @return 0 for the first page
     * @throws NumberFormatException if the key has a suffix that is not a number
     */
    public static int ledgerPageOf(String key) {
        int slash = key.indexOf('/', LEDGERS.length());
        return slash < 0 ? 0 : Integer.parseInt(key.substring(slash + 1));
    }

    /**
     * Returns the number of a record of further dependencies among those of its job.
     *
     * @param key of a record of further dependencies
     * @return the number, from 1
     * @throws NumberFormatException if the key does not end in a number
     */
    public static int furtherDependenciesPieceOf(String key) {
        return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
    }
}
