package io.micatide.cli;

import io.micatide.model.Settings;
import io.micatide.net.Reply;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.rollout.Capabilities;
import io.micatide.rollout.ControllerRegistry;
import io.micatide.rollout.Feature;
import io.micatide.rollout.FeatureFlags;
import io.micatide.rollout.FeatureStage;
import io.micatide.snapshot.StoreCalls;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The command {@code rollout}: shows the stages of the features that change the stored state, and holds, releases or reverts a feature. It reads
 * and writes the store directly, without a controller.
 */
@Command(
        name = "rollout",
        description = "Show, hold back or take back changes of the stored state.",
        mixinStandardHelpOptions = true)
final class RolloutCommand {
    /** Exit code when the store does not answer or sends a malformed answer, or when the request is refused. */
    static final int EXIT_ROLLOUT = 4;

    /** Rate limit of the requests to the store, per second. */
    private static final double CALLS_PER_SECOND = 5;
    /** Number of attempts of a read or write before the command fails. */
    private static final int MAX_ATTEMPTS = 5;

    @Mixin
    private SettingsFiles files;

    /** Thrown when the command cannot be carried out; the message is the reason shown to the operator. */
    private static final class RefusedException extends Exception {
        private static final long serialVersionUID = 1;

        RefusedException(String message) {
            super(message);
        }
    }

    /** What a subcommand does with the store. */
    @FunctionalInterface
    private interface StoreOperation {
        void run(StoreCalls calls, Settings settings) throws RefusedException, MalformedException;
    }

    @Command(
            description = "Who is there, which feature stands where, and what it waits for.",
            mixinStandardHelpOptions = true)
    int status(
            @Option(names = "--config", required = true, paramLabel = "FILE", description = "a controller's settings")
                    Path config) {
        return run(config, (calls, settings) -> status(calls, settings, System.out));
    }

    @Command(description = "Keep a feature where it is.", mixinStandardHelpOptions = true)
    int hold(
            @Parameters(paramLabel = "FEATURE") String feature,
            @Option(names = "--config", required = true, paramLabel = "FILE", description = "a controller's settings")
                    Path config) {
        return run(
                config,
                (calls, settings) -> requestAction(calls, feature, StoredRecord.RequestedAction.HOLD, System.out));
    }

    @Command(description = "Let a feature go on that was held or taken back.", mixinStandardHelpOptions = true)
    int release(
            @Parameters(paramLabel = "FEATURE") String feature,
            @Option(names = "--config", required = true, paramLabel = "FILE", description = "a controller's settings")
                    Path config) {
        return run(
                config,
                (calls, settings) -> requestAction(calls, feature, StoredRecord.RequestedAction.NONE, System.out));
    }

    @Command(
            description = "Take a feature back, stage by stage, until nobody needs to know it.",
            mixinStandardHelpOptions = true)
    int back(
            @Parameters(paramLabel = "FEATURE") String feature,
            @Option(names = "--config", required = true, paramLabel = "FILE", description = "a controller's settings")
                    Path config) {
        return run(
                config,
                (calls, settings) -> requestAction(calls, feature, StoredRecord.RequestedAction.BACK, System.out));
    }

    private int run(Path config, StoreOperation operation) {
        SettingsFiles.Loaded loaded = files.load(config);
        if (loaded == null) {
            return Main.EXIT_SETTINGS;
        }
        try (RateLimitedCalls calls = new RateLimitedCalls(loaded.settings().storeEndpoint(), CALLS_PER_SECOND)) {
            operation.run(calls, loaded.settings());
            return 0;
        } catch (RefusedException | MalformedException e) {
            System.err.println(e.getMessage());
            return EXIT_ROLLOUT;
        }
    }

    /** Reads a path; retries other answers than 200 and 404 until the attempts are used up. */
    private static Reply get(StoreCalls calls, String path) throws RefusedException {
        Reply reply = calls.get(path);
        for (int attempts = 1; reply.status() != 200 && reply.status() != 404; attempts++) {
            if (attempts == MAX_ATTEMPTS) {
                throw new RefusedException("the state service does not answer: " + reply.status());
            }
            calls.pause();
            reply = calls.get(path);
        }
        return reply;
    }

    /** Reads a key; the item of a missing key has a null record and version 0. */
    private static StoreCodec.Item readItem(StoreCalls calls, String key) throws RefusedException, MalformedException {
        Reply reply = get(calls, "/store/" + key);
        return reply.ok() ? StoreCodec.item(reply.body()) : new StoreCodec.Item(key, null, 0);
    }

    private static FeatureFlags featureFlags(StoreCalls calls) throws RefusedException, MalformedException {
        FeatureFlags flags = new FeatureFlags(Capabilities.ALL);
        StoreCodec.Item item = readItem(calls, StoreKeys.FEATURE_STAGES);
        flags.update(
                item.version(),
                item.record() == null
                        ? new StoredRecord.FeatureStages(Map.of())
                        : (StoredRecord.FeatureStages) item.record());
        return flags;
    }

    /** Prints the registered controllers and the stage of each feature, with what blocks its next stage. */
    static void status(StoreCalls calls, Settings settings, PrintStream out)
            throws RefusedException, MalformedException {
        List<String> labels = new ArrayList<>(List.of(settings.label()));
        settings.peers().forEach(peer -> labels.add(peer.label()));
        labels.sort(null);
        FeatureFlags flags = featureFlags(calls);
        ControllerRegistry registry = new ControllerRegistry(labels);
        for (StoreCodec.Item item : StoreCodec.page(get(calls, "/store?starts=" + StoreKeys.ROLLOUT + "&most=1000")
                        .body())
                .items()) {
            registry.add(item.key(), item.record(), item.version());
        }
        StoreCodec.Item leader = readItem(calls, StoreKeys.LEADER);
        String leaderLabel = leader.record() == null ? "" : ((StoredRecord.Leader) leader.record()).owner();
        for (String label : labels) {
            StoredRecord.RegisteredController controller =
                    registry.registeredControllers().get(label);
            out.println(label + (label.equals(leaderLabel) ? ", leads" : "") + ": "
                    + (controller == null
                            ? "not registered"
                            : "build " + controller.build() + ", knows " + String.join(" ", controller.knownFeatures())
                                    + ", since "
                                    + Instant.EPOCH
                                            .plus(controller.startedWall(), ChronoUnit.MICROS)
                                            .truncatedTo(ChronoUnit.SECONDS)
                                    + (controller.actingOnVersion() == flags.version()
                                            ? ""
                                            : ", has not taken in the last step")));
        }
        boolean hasLayoutMark = readItem(calls, StoreKeys.LAYOUT).record() != null;
        boolean hasArchiveManifest = readItem(calls, StoreKeys.ARCHIVE_MANIFEST).record() != null;
        for (Feature feature : Feature.values()) {
            FeatureStage stage = feature == Feature.NEEDS
                    ? stageOfMark(hasLayoutMark)
                    : feature == Feature.HISTORY ? stageOfMark(hasArchiveManifest) : flags.stage(feature);
            StoredRecord.RequestedAction action = registry.requestedAction(feature);
            List<String> blockers = feature.stageAfter(stage) == null ? List.of() : registry.blockers(feature);
            out.println(feature.key() + ": " + stage
                    + (action == StoredRecord.RequestedAction.NONE
                            ? ""
                            : ", asked to " + (action == StoredRecord.RequestedAction.HOLD ? "stay" : "go back"))
                    + (blockers.isEmpty() ? "" : ", waits: " + String.join(", ", blockers)));
        }
        flags.unsupportedFeatures()
                .forEach(feature -> out.println(feature + ": in use, and not known to this version"));
    }

    /** Returns the stage of a feature that is switched by the presence of a record alone. */
    private static FeatureStage stageOfMark(boolean isPresent) {
        return isPresent ? FeatureStage.CLEAN : FeatureStage.OFF;
    }

    /**
     * Writes the requested action of a feature on condition that its record still has the version that was read. The record is never
     * deleted: otherwise a first request that reaches the store minutes late would find the key missing again and undo what was requested since.
     */
    private static void writeRequest(StoreCalls calls, String name, StoredRecord.RequestedAction action)
            throws RefusedException, MalformedException {
        String key = StoreKeys.featureRequest(name);
        for (int attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
            StoreCodec.Item current = readItem(calls, key);
            if (current.record() instanceof StoredRecord.FeatureRequest request && request.action() == action) {
                return;
            }
            byte[] body = StoreCodec.transaction(new Transaction(
                    List.of(new Transaction.Condition(key, current.version())),
                    List.of(new Transaction.Write(key, new StoredRecord.FeatureRequest(action), 0))));
            if (calls.post("/txn", body).ok()) {
                return;
            }
            calls.pause();
        }
        throw new RefusedException(
                "the state service does not take it; nothing is known to have changed, ask for the status");
    }

    /** Stores the requested action of the named feature and prints its effect; refuses unknown features, marks and impossible reverts. */
    static void requestAction(StoreCalls calls, String name, StoredRecord.RequestedAction action, PrintStream out)
            throws RefusedException, MalformedException {
        Feature feature = Feature.forKey(name);
        if (feature == null) {
            throw new RefusedException(name + " is no feature of this version; there are "
                    + String.join(", ", Capabilities.ALL.knownFeatureKeys()));
        }
        if (feature.isMark()) {
            throw new RefusedException(name + " comes with the layout: it can be neither held nor taken back");
        }
        FeatureStage stage = featureFlags(calls).stage(feature);
        if (action == StoredRecord.RequestedAction.BACK && stage == FeatureStage.CLEAN) {
            throw new RefusedException(name + " cannot go back: its former form is gone");
        }
        writeRequest(calls, name, action);
        out.println(name + " is at " + stage + ": "
                + switch (action) {
                    case HOLD -> "it stays there until it is released";
                    case BACK -> "it goes back, stage by stage, and stays off until it is released";
                    case NONE -> "it goes on";
                });
    }
}
