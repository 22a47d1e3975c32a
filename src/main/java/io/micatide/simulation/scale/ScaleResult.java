package io.micatide.simulation.scale;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What one scale run measured.
 *
 * @param leader the controller that answered most heartbeats while it was measured
 * @param seconds that were measured
 * @param busyShare of a core that this process itself took: at 1 and more its figures are its own limits
 * @param starts of tasks, while it was measured
 * @param changes of keys in the state service, while it was measured
 * @param open jobs that were accepted and not over at the end
 * @param refused jobs that no controller accepted within a minute
 * @param leasesEnded workers whose lease ran out, over the whole run
 * @param broken rules, each with what broke it
 */
record ScaleResult(
        ScalePlan plan,
        int leader,
        double seconds,
        double busyShare,
        List<Controller> controllers,
        int workers,
        int starts,
        long changes,
        int running,
        int submitted,
        int open,
        int refused,
        int leasesEnded,
        List<String> broken,
        Map<String, Histogram> latencies) {

    /**
     * One controller.
     *
     * @param processor share of a core
     * @param residentMb the most it held
     * @param bytesPerSecond read and written by the process, heads and siblings among them
     * @param kinds messages and bodies by kind, a second
     */
    record Controller(
            double processor, double residentMb, int sockets, double bytesPerSecond, Map<Traffic.Kind, Rate> kinds) {}

    /** Messages and bytes of bodies a second. */
    record Rate(double messages, double bytes) {}

    Controller leading() {
        return controllers.get(leader);
    }

    /** The mean of the controllers that do not lead; the leader itself where it is alone. */
    Controller following() {
        List<Controller> others = new ArrayList<>(controllers);
        others.remove(leader);
        if (others.isEmpty()) {
            return leading();
        }
        Map<Traffic.Kind, Rate> kinds = new EnumMap<>(Traffic.Kind.class);
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            kinds.put(
                    kind,
                    new Rate(
                            others.stream()
                                    .mapToDouble(each -> each.kinds().get(kind).messages())
                                    .average()
                                    .orElse(0),
                            others.stream()
                                    .mapToDouble(each -> each.kinds().get(kind).bytes())
                                    .average()
                                    .orElse(0)));
        }
        return new Controller(
                others.stream().mapToDouble(Controller::processor).average().orElse(0),
                others.stream().mapToDouble(Controller::residentMb).average().orElse(0),
                (int) others.stream().mapToInt(Controller::sockets).average().orElse(0),
                others.stream()
                        .mapToDouble(Controller::bytesPerSecond)
                        .average()
                        .orElse(0),
                kinds);
    }
}
