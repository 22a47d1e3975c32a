package io.micatide.simulation.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Ports on loopback that nobody listens at, below those that systems give to outgoing connections. */
final class FreePorts {
    private static final int FIRST = 12_000;
    private static final int STEP = 100;
    private static final int STEPS = 90;
    private static final int TRIED = 2_000;

    private FreePorts() {}

    /** @throws IOException there are not so many */
    static List<Integer> find(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        int first = FIRST + (int) (ProcessHandle.current().pid() % STEPS) * STEP;
        for (int port = first; ports.size() < count && port < first + TRIED; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                ports.add(socket.getLocalPort());
            } catch (IOException e) {
                // Somebody else's.
            }
        }
        if (ports.size() < count) {
            throw new IOException("no " + count + " free ports on loopback from " + first + " on");
        }
        return ports;
    }
}
