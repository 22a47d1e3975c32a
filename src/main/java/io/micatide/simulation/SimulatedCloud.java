package io.micatide.simulation;

import io.micatide.controller.ActorExecutor;
import io.micatide.model.CloudCall;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.net.Request;
import io.micatide.protocol.CloudSideCodec;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The cloud: rents machines that boot in their type's time, as many as there are. Used from its loop only. */
public final class SimulatedCloud {
    /** A rented machine. */
    public record RentedMachine(String name, MachineType type, String zone, boolean spot, long sinceMicros) {}

    private static final long MEMORY_MICROS = 60 * Micros.SECOND;

    private final ActorExecutor loop;
    private final List<MachineType> types;
    private int most;
    private final Consumer<RentedMachine> up;
    private final Consumer<String> gone;
    private final Map<String, RentedMachine> machines = new LinkedHashMap<>();
    private final Map<String, Boolean> booted = new HashMap<>();
    private final Map<String, List<String>> bookings = new HashMap<>();
    private int lastMachine;
    private boolean away;
    private LongSupplier listMicros = () -> 0;
    private LongSupplier bootMicros;
    /** What was listed before, while lists are old: by time, the newest last. */
    private final NavigableMap<Long, List<ListedMachine>> past = new TreeMap<>();

    /**
     * @param most how many machines there are
     * @param up called when a machine has booted
     * @param gone called when a machine is deleted, with its name
     */
    public SimulatedCloud(
            ActorExecutor loop, List<MachineType> types, int most, Consumer<RentedMachine> up, Consumer<String> gone) {
        this.loop = loop;
        this.types = types;
        this.most = most;
        this.up = up;
        this.gone = gone;
    }

    /** An outage of the interface begins or ends; machines go on. */
    public void away(boolean now) {
        away = now;
    }

    /** Lists are so old from now on, and machines take so long to boot, drawn anew for each; microseconds. */
    public void setDelays(LongSupplier listLag, LongSupplier boot) {
        listMicros = listLag;
        bootMicros = boot;
        remember();
    }

    /** How many machines there are from now on. */
    public void setCapacity(int machines) {
        most = machines;
    }

    private void remember() {
        past.put(loop.now(), listed());
        past.headMap(loop.now() - MEMORY_MICROS).clear();
        loop.executeLater(this::remember, 500 * Micros.MILLISECOND);
    }

    public int machines() {
        return machines.size();
    }

    public void handle(Request request) {
        if (away) {
            request.answer(503, "{\"error\":\"trouble\"}".getBytes(StandardCharsets.UTF_8));
            return;
        }
        try {
            if (request.path().equals("/machine_types")) {
                request.answer(200, CloudSideCodec.types(types));
            } else if (request.path().equals("/machines") && request.method().equals("POST")) {
                rent(request, CloudSideCodec.rent(request.body()));
            } else if (request.path().equals("/machines/delete")) {
                CloudSideCodec.delete(request.body()).machines().forEach(this::delete);
                request.answer(200, "{}".getBytes(StandardCharsets.UTF_8));
            } else {
                list(request);
            }
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    private void rent(Request request, CloudCall.RequestMachines rent) {
        List<String> names = bookings.get(rent.requestName());
        if (names == null) {
            MachineType type = types.stream()
                    .filter(each -> each.name().equals(rent.type()))
                    .findFirst()
                    .orElse(null);
            int count = Math.min(rent.count(), most - machines.size());
            if (type == null || !type.zones().contains(rent.zone()) || count < 1) {
                request.answer(503, "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8));
                return;
            }
            names = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                names.add(start(type, rent.zone(), rent.spot()));
            }
            bookings.put(rent.requestName(), names);
        }
        request.answer(200, CloudSideCodec.rented(names));
    }

    /**
     * A machine that is up from the beginning and that nobody rented, as a rehearsal at its full size starts with.
     *
     * @param spot whether the cloud may take it back
     */
    public void addUnrentedMachine(MachineType type, String zone, boolean spot) {
        RentedMachine machine = add(type, zone, spot);
        booted.put(machine.name(), true);
        up.accept(machine);
    }

    private RentedMachine add(MachineType type, String zone, boolean spot) {
        String name = String.format("i-%06d", ++lastMachine);
        RentedMachine machine = new RentedMachine(name, type, zone, spot, loop.now());
        machines.put(name, machine);
        return machine;
    }

    private String start(MachineType type, String zone, boolean spot) {
        RentedMachine machine = add(type, zone, spot);
        String name = machine.name();
        loop.executeLater(
                () -> {
                    if (machines.containsKey(name)) {
                        booted.put(name, true);
                        up.accept(machine);
                    }
                },
                bootMicros == null ? type.bootMicros() : bootMicros.getAsLong());
        return name;
    }

    void delete(String name) {
        if (machines.remove(name) != null) {
            booted.remove(name);
            gone.accept(name);
        }
    }

    private void list(Request request) {
        int at = request.path().indexOf("from=");
        String from = at < 0 ? "" : request.path().substring(at + 5).split("&")[0];
        Map.Entry<Long, List<ListedMachine>> old = past.floorEntry(loop.now() - listMicros.getAsLong());
        List<ListedMachine> listed = (past.isEmpty()
                        ? listed()
                        : old == null ? List.<ListedMachine>of() : old.getValue())
                .stream()
                        .filter(machine -> machine.name().compareTo(from) > 0)
                        .limit(500)
                        .toList();
        request.answer(200, CloudSideCodec.list(listed, listed.size() == 500));
    }

    private List<ListedMachine> listed() {
        List<ListedMachine> result = new ArrayList<>();
        for (RentedMachine machine : machines.values()) {
            result.add(new ListedMachine(
                    machine.name(),
                    machine.type().name(),
                    machine.zone(),
                    machine.spot(),
                    booted.containsKey(machine.name()) ? ListedMachine.State.RUNNING : ListedMachine.State.BOOTING,
                    loop.now() - machine.sinceMicros()));
        }
        return result;
    }
}
