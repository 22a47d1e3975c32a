package io.micatide.cli;

import io.micatide.protocol.MalformedException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** The command {@code warm-up}: loads the classes that a controller needs, so that the build can store them in a class data archive. */
@Command(name = "warm-up", hidden = true)
final class WarmUpCommand implements Callable<Integer> {
    @Override
    public Integer call() throws InterruptedException, MalformedException {
        return WarmUp.run();
    }
}
