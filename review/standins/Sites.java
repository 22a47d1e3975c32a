package review;

import java.util.List;

/** Settings like those of a small deployment: figures of the operators' pages, with few machines. */
final class Sites {
    private Sites() {}

    /** As corrmhor-live: three controllers in three zones, one team without a limit. */
    static final String CORRMHOR_LIVE =
            """
            [deployment]
            count = 3
            zones = ["dublin-north", "cork-quay", "galway-west"]
            clock_off_ms = 100.0
            [[deployment.teams]]
            name = "feed-desk"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 0.0
            gpus_max = 0.0
            [[deployment.teams]]
            name = "camogie-research"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 0.0
            gpus_max = 0.0
            [deployment.workers]
            report_s = 0.8
            lease_s = 10.0
            gang_wait_s = 30.0
            gang_peer_s = 5.0
            cancel_s = 30.0
            [deployment.state]
            rps = 80.0
            write_rps = 30.0
            value_kb = 16.0
            txn_ops = 16
            [deployment.cloud]
            rps = 8.0
            list_lag_s = 10.0
            [deployment.limits]
            cores = 0.425
            memory_mb = 148.0
            max_connections = 700
            """;

    /** As cascadia-rehab, with one of its six teams and the guest team. */
    static final String CASCADIA_REHAB =
            """
            [deployment]
            count = 3
            zones = ["tacoma-rack", "bellingham-rack"]
            clock_off_ms = 1000.0
            [[deployment.teams]]
            name = "feed-desk"
            cpus = 88.0
            cpus_max = 232.0
            gpus = 0.0
            gpus_max = 0.0
            [[deployment.teams]]
            name = "gait-lab"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 0.0
            gpus_max = 0.0
            [deployment.workers]
            report_s = 1.5
            lease_s = 10.0
            gang_wait_s = 35.0
            gang_peer_s = 8.0
            cancel_s = 40.0
            [deployment.state]
            rps = 250.0
            write_rps = 100.0
            value_kb = 32.0
            txn_ops = 32
            [deployment.cloud]
            rps = 5.0
            list_lag_s = 8.0
            [deployment.limits]
            cores = 0.34
            memory_mb = 205.0
            max_connections = 700
            """;

    static StateService cascadiaRehabState() {
        return new StateService(250, 100, 32, 32);
    }

    static final Cloud.Type CEDAR_NODE =
            new Cloud.Type("cedar-node", 16, 64, 25, List.of("tacoma-rack", "bellingham-rack"), 24);

    static StateService corrmhorLiveState() {
        return new StateService(80, 30, 16, 16);
    }

    static final Cloud.Type HURLER_SMALL = new Cloud.Type(
            "hurler-small", 8, 64, 30, List.of("dublin-north", "cork-quay", "galway-west"), 8);
    static final Cloud.Type CROKER_LARGE = new Cloud.Type(
            "croker-large", 64, 512, 15, List.of("dublin-north", "cork-quay", "galway-west"), 2);
}
