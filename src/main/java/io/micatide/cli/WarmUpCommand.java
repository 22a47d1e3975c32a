package io.micatide.cli;

import io.micatide.protocol.MalformedException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Loads what a controller needs, so that the build can keep the loaded classes in an archive. */
@Command(name = "warm-up", hidden = true)
final class WarmUpCommand implements Callable<Integer> {
    @Override
    public Integer call() throws InterruptedException, MalformedException {
        return WarmUp.run();
    }
}
