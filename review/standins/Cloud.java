package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud: offers machine types, rents machines while it has capacity, and ends them. */
final class Cloud {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A machine type with its offer in each zone. */
    record Type(String name, double cpus, double memoryGb, double bootS, List<String> zones, int capacityPerZone) {}

    private final Map<String, Type> types = new HashMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, String> bookings = new HashMap<>();
    private final Deployment deployment;
    private int lastNumber;
    final int port;
    /** How the interface answers: SERVES, REFUSES with 503, or SILENT: carried out without an answer. */
    volatile StateService.Mode mode = StateService.Mode.SERVES;
    /** Longest lag of the list in seconds; each list is of a moment drawn within it. */
    volatile double listLagS;
    private final java.util.ArrayDeque<Object[]> lists = new java.util.ArrayDeque<>();
    private final java.util.Random random = new java.util.Random();

    Cloud(Deployment deployment, List<Type> offered) throws IOException {
        this.deployment = deployment;
        offered.forEach(type -> types.put(type.name(), type));
        port = HttpEndpoint.serve(this::answer);
        HttpEndpoint.daemon(() -> {
            while (true) {
                synchronized (this) {
                    lists.addLast(new Object[] {System.nanoTime(), list()});
                    if (lists.size() > 200) {
                        lists.removeFirst();
                    }
                }
                Thread.sleep(200);
            }
        });
    }

    private HttpEndpoint.Answer answer(HttpEndpoint.Message request) throws Exception {
        if (mode == StateService.Mode.REFUSES) {
            return HttpEndpoint.Answer.json(503, "{\"error\":\"trouble\"}");
        }
        HttpEndpoint.Answer answer = handle(request);
        if (mode == StateService.Mode.SILENT) {
            Thread.sleep(8000);
            return null;
        }
        return answer;
    }

    private synchronized String laggingList() {
        long atNanos = System.nanoTime() - (long) (random.nextDouble() * listLagS * 1e9);
        String result = lists.isEmpty() ? list() : (String) lists.peekFirst()[1];
        for (Object[] each : lists) {
            if ((long) each[0] <= atNanos) {
                result = (String) each[1];
            }
        }
        return listLagS == 0 ? list() : result;
    }

    /** Takes a machine back without a notice. */
    synchronized void take(Machine machine) {
        if (machines.remove(machine.name) != null) {
            deployment.record("cloud: " + machine.name + " taken back");
            machine.end();
        }
    }

    synchronized Machine addMachine(Type type, String zone, boolean spot, double bootS) throws IOException {
        Machine machine = new Machine(deployment, String.format("i-%06d", ++lastNumber), type, zone, spot);
        machines.put(machine.name, machine);
        HttpEndpoint.daemon(() -> {
            Thread.sleep((long) (bootS * 1000));
            machine.start();
        });
        return machine;
    }

    synchronized List<Machine> machines() {
        return List.copyOf(machines.values());
    }

    private synchronized HttpEndpoint.Answer handle(HttpEndpoint.Message request) throws Exception {
        String path = request.path();
        JsonNode body = request.body().length == 0 ? null : JSON.readTree(request.body());
        if (path.equals("/machine_types")) {
            return HttpEndpoint.Answer.json(200, machineTypes());
        }
        if (path.equals("/machines/delete")) {
            for (JsonNode name : body.path("berths")) {
                Machine machine = machines.remove(name.asText());
                if (machine != null) {
                    deployment.record("cloud: " + name.asText() + " deleted");
                    machine.end();
                }
            }
            return HttpEndpoint.Answer.json(200, "{}");
        }
        if (path.equals("/machines")) {
            return rent(body);
        }
        if (path.startsWith("/machines?")) {
            return HttpEndpoint.Answer.json(200, laggingList());
        }
        return HttpEndpoint.Answer.json(400, "{}");
    }

    private String machineTypes() {
        ObjectNode result = JSON.createObjectNode();
        ArrayNode list = result.putArray("builds");
        for (Type type : types.values()) {
            ObjectNode entry = list.addObject();
            entry.put("label", type.name());
            entry.put("cpus", type.cpus());
            entry.put("cards", 0);
            entry.put("memGb", type.memoryGb());
            entry.put("localGb", 50);
            entry.put("pullGbPerS", 1.0);
            entry.put("hourly", type.cpus() / 16);
            entry.put("marketPrice", type.cpus() / 50);
            entry.put("bootS", type.bootS());
            type.zones().forEach(entry.withArray("grounds")::add);
        }
        return result.toString();
    }

    private HttpEndpoint.Answer rent(JsonNode body) throws IOException {
        String booking = body.path("booking").asText();
        if (!bookings.containsKey(booking)) {
            Type type = types.get(body.path("build").asText());
            String zone = body.path("ground").asText();
            long used = machines.values().stream()
                    .filter(machine -> machine.type.name().equals(type.name()) && machine.zone.equals(zone))
                    .count();
            long count = Math.min(body.path("howMany").asLong(), type.capacityPerZone() - used);
            if (count <= 0) {
                return HttpEndpoint.Answer.json(503, "{\"error\":\"no capacity\"}");
            }
            ArrayNode names = JSON.createArrayNode();
            for (int i = 0; i < count; i++) {
                names.add(addMachine(type, zone, body.path("loaners").asBoolean(), type.bootS()).name);
            }
            deployment.record("cloud: rented " + names);
            ObjectNode answer = JSON.createObjectNode();
            answer.set("berths", names);
            bookings.put(booking, answer.toString());
        }
        return HttpEndpoint.Answer.json(200, bookings.get(booking));
    }

    private String list() {
        ObjectNode result = JSON.createObjectNode();
        ArrayNode list = result.putArray("berths");
        for (Machine machine : machines.values()) {
            ObjectNode entry = list.addObject();
            entry.put("nameId", machine.name);
            entry.put("addr", "127.0.0.1:" + machine.commandPort);
            entry.put("build", machine.type.name());
            entry.put("ground", machine.zone);
            entry.put("loaners", machine.spot);
            entry.put("standing", machine.isUp() ? "running" : "booting");
            entry.put("heldS", machine.ageSeconds());
        }
        result.put("truncated", false);
        return result.toString();
    }
}
