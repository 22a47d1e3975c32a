package io.micatide.simulation.scale;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a scale run refuses before anything is started, and how it tells it. */
class ScalePlanTest {
    private static final long MEGABYTE = 1 << 20;

    @ParameterizedTest
    @CsvSource({
        "0, 3, 10, 10, --workers: must be from 1 to 6000; is 0",
        "6001, 3, 10, 10, --workers: must be from 1 to 6000; is 6001",
        "100, 0, 10, 10, --controllers: must be from 1 to 20; is 0",
        "100, 3, NaN, 10, --starts: must be from 0.1 to 2000; is NaN",
        "100, 3, 10, 9, --seconds: must be from 10 to 3600; is 9",
    })
    void valuesOutOfRangeAreNamed(int workers, int controllers, double starts, int seconds, String message) {
        ScalePlan plan = new ScalePlan(workers, controllers, starts, 47, 45, 0, 47, seconds, 1, ScalePlan.Fault.NONE);
        Exception refused = assertThrows(ScalePlan.InvalidPlanException.class, plan::check);
        assertEquals(message.replace(';', ','), refused.getMessage());
    }

    @ParameterizedTest
    @CsvSource({
        // workers, controllers, memory of the machine in MB, files, fits
        "2800, 7, 24000, 20000, true",
        "2800, 7, 4200, 20000, true",
        "2800, 7, 4000, 20000, false",
        "2800, 7, 24000, 10000, false",
        "10, 100, 240000, 20000, false",
        "10, 99, 240000, 20000, true",
    })
    void halfOfTheMemoryAndAHundredProcesses(int workers, int controllers, long megabytes, long files, boolean fits) {
        ScaleLimits limits = new ScaleLimits(megabytes * MEGABYTE, files);
        ScalePlan plan = new ScalePlan(workers, controllers, 10, 47, 45, 0, 47, 60, 1, ScalePlan.Fault.NONE);
        if (fits) {
            assertDoesNotThrow(() -> limits.check(plan));
        } else {
            assertThrows(ScalePlan.InvalidPlanException.class, () -> limits.check(plan));
        }
    }

    @Test
    void anUnknownFaultIsNamedWithThoseThatAreKnown() {
        Exception refused = assertThrows(ScalePlan.InvalidPlanException.class, () -> ScalePlan.Fault.named("meteor"));
        assertEquals("--fault: meteor is not known; known are none, leader, zone, all", refused.getMessage());
    }

    @Test
    void aControllersCommandIsThatOfTheDeployFileWithoutItsOwnFiles(@TempDir Path folder)
            throws IOException, ScalePlan.InvalidPlanException {
        Path deploy = Files.writeString(
                folder.resolve("service.toml"),
                "run = \"java -Xmx64m -jar x.jar serve --tuning deploy/rollout.toml --config\"\n");
        assertEquals(List.of("java", "-Xmx64m", "-jar", "x.jar", "serve"), Scale.command(deploy));
        assertThrows(ScalePlan.InvalidPlanException.class, () -> Scale.command(folder.resolve("none.toml")));
    }

    @ParameterizedTest
    @CsvSource({
        // four y for x = 350, 700, 1400, 2800; slope a thousand, at 0, residual
        "0.45, 0.80, 1.50, 2.90, 1.0, 0.1, 0",
        "5, 5, 5, 5, 0, 5, 0",
        "0, 1, 0, 1, 0.24845, 0.17391, 0.44233",
    })
    void aLineThroughFourSizes(
            double a, double b, double c, double d, double slope, double intercept, double residual) {
        LeastSquares fit = LeastSquares.of(new double[] {350, 700, 1400, 2800}, new double[] {a, b, c, d});
        assertEquals(slope, fit.slope() * 1_000, 1e-3);
        assertEquals(intercept, fit.intercept(), 1e-3);
        assertEquals(residual, fit.residual(), 1e-3);
    }
}
