package io.micatide.cli;

import io.micatide.simulation.LocalDeployment;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command {@code local}: runs controllers, with simulated store, cloud and workers, on this machine until the process is interrupted.
 */
@Command(
        name = "local",
        mixinStandardHelpOptions = true,
        description =
                "Run a deployment on this machine to try out, with stand-ins of state service, cloud and workers.")
final class LocalCommand implements Callable<Integer> {
    /** Time within which a controller must answer its health check, in seconds. */
    private static final int STARTUP_TIMEOUT_S = 20;

    @Option(names = "--controllers", defaultValue = "1", paramLabel = "N", description = "how many controllers, 1 to 9")
    private int controllers;

    @Option(
            names = "--port",
            defaultValue = "8080",
            paramLabel = "PORT",
            description = "of the first controller, by default 8080; 0 for any that is free")
    private int port;

    @Override
    public Integer call() throws InterruptedException {
        if (controllers < 1 || controllers > 9 || port < 0 || port > 65_535) {
            System.err.println(
                    controllers < 1 || controllers > 9
                            ? "--controllers: must be from 1 to 9"
                            : "--port: must be from 0 to 65535");
            return Main.EXIT_SETTINGS;
        }
        try (LocalDeployment deployment = LocalDeployment.start(controllers, port, true)) {
            for (String endpoint : deployment.endpoints()) {
                if (!awaitHealthy(endpoint)) {
                    System.err.println(endpoint + ": does not serve within " + STARTUP_TIMEOUT_S + " s");
                    return 1;
                }
                System.out.println("http://" + endpoint);
            }
            System.out.println("team: " + LocalDeployment.TEAM);
            System.out.flush();
            new CountDownLatch(1).await();
            return 0;
        } catch (IOException e) {
            System.err.println("--port: " + port + " cannot be had: " + e.getMessage());
            return Main.EXIT_SETTINGS;
        }
    }

    /** Polls the health check of the given endpoint; returns false when it has not answered 200 within the startup timeout. */
    private static boolean awaitHealthy(String endpoint) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(STARTUP_TIMEOUT_S);
        while (System.nanoTime() < deadlineNanos) {
            try {
                HttpURLConnection connection = (HttpURLConnection)
                        URI.create("http://" + endpoint + "/healthz").toURL().openConnection();
                connection.setConnectTimeout(500);
                connection.setReadTimeout(1_000);
                if (connection.getResponseCode() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // The controller does not accept connections yet: the loop retries until the deadline.
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }
}
