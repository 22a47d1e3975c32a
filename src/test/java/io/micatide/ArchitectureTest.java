package io.micatide;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** The direction of dependencies between packages, as docs/architecture.md shows it. */
class ArchitectureTest {
    private static final String ROOT = "io.micatide.";

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("io.micatide");

    /** What each package may depend on, beside itself and the packages below it. */
    private static final Map<String, Set<String>> ALLOWED = Map.ofEntries(
            Map.entry("model", Set.of()),
            Map.entry("store", Set.of("model")),
            Map.entry("jobs", Set.of("model", "store")),
            Map.entry("election", Set.of("model")),
            Map.entry("scheduler", Set.of("model", "store", "jobs")),
            Map.entry("standby", Set.of("model", "store")),
            Map.entry("rollout", Set.of("model", "store")),
            Map.entry("archive", Set.of("model", "store")),
            Map.entry("protocol", Set.of("model", "store")),
            Map.entry("net", Set.of("model", "store", "election", "protocol")),
            Map.entry("snapshot", Set.of("store", "protocol", "net")),
            Map.entry(
                    "controller",
                    Set.of(
                            "model",
                            "store",
                            "jobs",
                            "election",
                            "scheduler",
                            "standby",
                            "rollout",
                            "archive",
                            "protocol",
                            "net")),
            Map.entry(
                    "simulation",
                    Set.of(
                            "model",
                            "store",
                            "jobs",
                            "scheduler",
                            "standby",
                            "rollout",
                            "archive",
                            "protocol",
                            "net",
                            "controller")),
            Map.entry(
                    "cli",
                    Set.of(
                            "model",
                            "store",
                            "election",
                            "rollout",
                            "protocol",
                            "net",
                            "snapshot",
                            "controller",
                            "simulation")));

    /** The methods of {@link Math} whose last digit may differ between processors; those of {@link StrictMath} don't. */
    private static final Set<String> INEXACT = Set.of(
            "sin", "cos", "tan", "asin", "acos", "atan", "atan2", "sinh", "cosh", "tanh", "exp", "expm1", "log",
            "log10", "log1p", "pow", "cbrt", "hypot");

    private static String packageOf(JavaClass each) {
        String below = each.getPackageName().substring(ROOT.length());
        int dot = below.indexOf('.');
        return dot < 0 ? below : below.substring(0, dot);
    }

    private static boolean isOwn(JavaClass each) {
        return each.getPackageName().startsWith(ROOT);
    }

    @Test
    @DisplayName("packages depend only on those that the architecture allows")
    void packagesDependOnlyOnAllowedOnes() {
        List<String> forbidden = new ArrayList<>();
        for (JavaClass each : CLASSES) {
            for (Dependency dependency : each.getDirectDependenciesFromSelf()) {
                JavaClass target = dependency.getTargetClass();
                if (isOwn(each) && isOwn(target) && !packageOf(each).equals(packageOf(target))) {
                    Set<String> allowed = ALLOWED.get(packageOf(each));
                    if (allowed == null || !allowed.contains(packageOf(target))) {
                        forbidden.add(dependency.getDescription());
                    }
                }
            }
        }
        assertTrue(forbidden.isEmpty(), () -> String.join("\n", forbidden));
    }

    @Test
    @DisplayName("there are no cycles between packages")
    void packagesAreFreeOfCycles() {
        slices().matching(ROOT + "(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    @DisplayName("decisions know neither sockets nor threads nor clocks")
    void decisionsAreFreeOfInputAndOutput() {
        List<String> forbidden = new ArrayList<>();
        Set<String> pure = Set.of("model", "store", "jobs", "election", "scheduler", "standby", "rollout", "archive");
        for (JavaClass each : CLASSES) {
            if (!isOwn(each) || !pure.contains(packageOf(each))) {
                continue;
            }
            for (Dependency dependency : each.getDirectDependenciesFromSelf()) {
                String target = dependency.getTargetClass().getPackageName();
                if (target.startsWith("io.netty")
                        || target.startsWith("java.net")
                        || target.startsWith("java.nio.file")
                        || target.startsWith("java.time")
                        || dependency.getTargetClass().isEquivalentTo(Thread.class)) {
                    forbidden.add(dependency.getDescription());
                }
            }
        }
        assertTrue(forbidden.isEmpty(), () -> String.join("\n", forbidden));
    }

    @Test
    @DisplayName("results don't depend on the processor")
    void resultsAreTheSameOnEveryProcessor() {
        List<String> forbidden = new ArrayList<>();
        for (JavaClass each : CLASSES) {
            for (JavaAccess<?> access : each.getAccessesFromSelf()) {
                if (access.getTargetOwner().isEquivalentTo(Math.class) && INEXACT.contains(access.getName())) {
                    forbidden.add(access.getDescription());
                }
            }
        }
        assertTrue(forbidden.isEmpty(), () -> String.join("\n", forbidden));
    }
}
