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

/** Shows how far changes of the stored state have come, holds them back and takes them back. Works on the state service itself. */
@Command(
        name = "rollout",
        description = "Show, hold back or take back changes of the stored state.",
        mixinStandardHelpOptions = true)
final class RolloutCommand {
    /** The state service does not answer, or what is asked for cannot be. */
    static final int EXIT_ROLLOUT = 4;

    private static final double CALLS_PER_SECOND = 5;
    private static final int MAX_ATTEMPTS = 5;

    @Mixin
    private SettingsFiles files;

    /** What cannot be done, with the reason. */
    private static final class RefusedException extends Exception {
        private static final long serialVersionUID = 1;

        RefusedException(String message) {
            super(message);
        }
    }

    /** What a command does with the state service. */
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
        return run(config, (calls, settings) -> requestAction(calls, feature, StoredRecord.RequestedAction.HOLD, System.out));
    }

    @Command(description = "Let a feature go on that was held or taken back.", mixinStandardHelpOptions = true)
    int release(
            @Parameters(paramLabel = "FEATURE") String feature,
            @Option(names = "--config", required = true, paramLabel = "FILE", description = "a controller's settings")
                    Path config) {
        return run(config, (calls, settings) -> requestAction(calls, feature, StoredRecord.RequestedAction.NONE, System.out));
    }

    @Command(
            description = "Take a feature back, stage by stage, until nobody needs to know it.",
            mixinStandardHelpOptions = true)
    int back(
            @Parameters(paramLabel = "FEATURE") String feature,
            @Option(names = "--config", required = true, paramLabel = "FILE", description = "a controller's settings")
                    Path config) {
        return run(config, (calls, settings) -> requestAction(calls, feature, StoredRecord.RequestedAction.BACK, System.out));
    }

    private int run(Path config, StoreOperation work) {
        SettingsFiles.Loaded loaded = files.load(config);
        if (loaded == null) {
            return Main.EXIT_SETTINGS;
        }
        try (RateLimitedCalls calls = new RateLimitedCalls(loaded.settings().storeEndpoint(), CALLS_PER_SECOND)) {
            work.run(calls, loaded.settings());
            return 0;
        } catch (RefusedException | MalformedException e) {
            System.err.println(e.getMessage());
            return EXIT_ROLLOUT;
        }
    }

    private static Reply get(StoreCalls calls, String path) throws RefusedException {
        Reply reply = calls.get(path);
        for (int tries = 1; reply.status() != 200 && reply.status() != 404; tries++) {
            if (tries == MAX_ATTEMPTS) {
                throw new RefusedException("the state service does not answer: " + reply.status());
            }
            calls.pause();
            reply = calls.get(path);
        }
        return reply;
    }

    private static StoreCodec.Item readItem(StoreCalls calls, String key) throws RefusedException, MalformedException {
        Reply reply = get(calls, "/store/" + key);
        return reply.ok() ? StoreCodec.item(reply.body()) : new StoreCodec.Item(key, null, 0);
    }

    private static FeatureFlags featureFlags(StoreCalls calls) throws RefusedException, MalformedException {
        FeatureFlags switches = new FeatureFlags(Capabilities.ALL);
        StoreCodec.Item item = readItem(calls, StoreKeys.FEATURE_STAGES);
        switches.update(
                item.version(),
                item.record() == null
                        ? new StoredRecord.FeatureStages(Map.of())
                        : (StoredRecord.FeatureStages) item.record());
        return switches;
    }

    static void status(StoreCalls calls, Settings settings, PrintStream out)
            throws RefusedException, MalformedException {
        List<String> labels = new ArrayList<>(List.of(settings.label()));
        settings.peers().forEach(sibling -> labels.add(sibling.label()));
        labels.sort(null);
        FeatureFlags switches = featureFlags(calls);
        ControllerRegistry roster = new ControllerRegistry(labels);
        for (StoreCodec.Item item : StoreCodec.page(get(calls, "/store?starts=" + StoreKeys.ROLLOUT + "&most=1000")
                        .body())
                .items()) {
            roster.add(item.key(), item.record(), item.version());
        }
        StoreCodec.Item leader = readItem(calls, StoreKeys.LEADER);
        String leads = leader.record() == null ? "" : ((StoredRecord.Leader) leader.record()).owner();
        for (String label : labels) {
            StoredRecord.RegisteredController here =
                    roster.registeredControllers().get(label);
            out.println(label + (label.equals(leads) ? ", leads" : "") + ": "
                    + (here == null
                            ? "not registered"
                            : "build " + here.build() + ", knows " + String.join(" ", here.knownFeatures()) + ", since "
                                    + Instant.EPOCH
                                            .plus(here.startedWall(), ChronoUnit.MICROS)
                                            .truncatedTo(ChronoUnit.SECONDS)
                                    + (here.actingOnVersion() == switches.version()
                                            ? ""
                                            : ", has not taken in the last step")));
        }
        boolean needs = readItem(calls, StoreKeys.LAYOUT).record() != null;
        boolean history = readItem(calls, StoreKeys.ARCHIVE_MANIFEST).record() != null;
        for (Feature feature : Feature.values()) {
            FeatureStage stage = feature == Feature.NEEDS
                    ? stageOfMark(needs)
                    : feature == Feature.HISTORY ? stageOfMark(history) : switches.stage(feature);
            StoredRecord.RequestedAction wish = roster.requestedAction(feature);
            List<String> missing = feature.stageAfter(stage) == null ? List.of() : roster.blockers(feature);
            out.println(feature.key() + ": " + stage
                    + (wish == StoredRecord.RequestedAction.NONE
                            ? ""
                            : ", asked to " + (wish == StoredRecord.RequestedAction.HOLD ? "stay" : "go back"))
                    + (missing.isEmpty() ? "" : ", waits: " + String.join(", ", missing)));
        }
        switches.unsupportedFeatures().forEach(each -> out.println(each + ": in use, and not known to this version"));
    }

    private static FeatureStage stageOfMark(boolean there) {
        return there ? FeatureStage.CLEAN : FeatureStage.OFF;
    }

    /**
     * On condition of the row as it was read, and the row never goes: what an operator asked for first and that arrives minutes late must not
     * undo what was asked for since.
     */
    private static void writeRequest(StoreCalls calls, String name, StoredRecord.RequestedAction wish)
            throws RefusedException, MalformedException {
        String key = StoreKeys.featureRequest(name);
        for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
            StoreCodec.Item there = readItem(calls, key);
            if (there.record() instanceof StoredRecord.FeatureRequest ask && ask.action() == wish) {
                return;
            }
            byte[] body = StoreCodec.transaction(new Transaction(
                    List.of(new Transaction.Condition(key, there.version())),
                    List.of(new Transaction.Write(key, new StoredRecord.FeatureRequest(wish), 0))));
            if (calls.post("/txn", body).ok()) {
                return;
            }
            calls.pause();
        }
        throw new RefusedException(
                "the state service does not take it; nothing is known to have changed, ask for the status");
    }

    static void requestAction(StoreCalls calls, String name, StoredRecord.RequestedAction wish, PrintStream out)
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
        if (wish == StoredRecord.RequestedAction.BACK && stage == FeatureStage.CLEAN) {
            throw new RefusedException(name + " cannot go back: its former form is gone");
        }
        writeRequest(calls, name, wish);
        out.println(name + " is at " + stage + ": "
                + switch (wish) {
                    case HOLD -> "it stays there until it is released";
                    case BACK -> "it goes back, stage by stage, and stays off until it is released";
                    case NONE -> "it goes on";
                });
    }
}
