package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment on loopback addresses, and its clients. */
final class Site implements AutoCloseable {
    /** A broken precondition of a case: exit code 2. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    interface Scenario {
        /** Returns whether the rule held. */
        boolean run(Site site) throws Exception;
    }

    static final String SERVICE = "orders";
    private static final String HOST = "orders.example";
    private static final String PREFIX = "/orders/";
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Recorder recorder;
    final Store store;
    final Map<String, Instance> instances = new LinkedHashMap<>();
    final Map<String, Minion> minions = new LinkedHashMap<>();
    private final List<String> zones;
    private final Path folder;

    private final List<Site> siblings = new ArrayList<>();

    private Site(Recorder recorder, List<String> zones) throws Exception {
        this.zones = zones;
        this.recorder = recorder;
        folder = Files.createTempDirectory("review3");
        store = new Store(recorder);
        store.put("op/config", Json.map("version", 3, "limits", Json.map(),
                "services", List.of(Json.map("name", SERVICE, "admissionCheck", true)),
                "routes", List.of(Json.map("name", "orders", "host", HOST, "prefix", PREFIX, "service", SERVICE,
                        "timeoutMs", 1500, "sloLatencyMs", 500, "priority", 0, "maxAttempts", 4, "stretch", 1.6))));
    }

    /** Another deployment of the same kind, with a store of its own. */
    synchronized Site sibling() throws Exception {
        Site sibling = new Site(recorder, zones);
        siblings.add(sibling);
        return sibling;
    }

    /** Plays a case; ends the process with 0 if the rule held, 1 if not and 2 if the case could not run. */
    static void play(String caseFolder, List<String> zones, Scenario scenario) {
        int code = 2;
        try (Site site = new Site(new Recorder(Path.of(caseFolder, "record.txt")), zones)) {
            Http.thread(() -> {
                Recorder.sleep(115_000);
                site.recorder.line("case", "took too long");
                Instance.endAll();
                Runtime.getRuntime().halt(2);
            });
            try {
                site.recorder.line("case", "disruption: " + (site.trouble ? "on" : "off"));
                code = scenario.run(site) ? 0 : 1;
            } catch (Exception e) {
                site.recorder.line("case", "cannot run: " + e);
                e.printStackTrace();
            }
            site.recorder.line("case", code == 0 ? "the rule held" : code == 1 ? "THE RULE WAS BROKEN" : "the case could not run");
            System.out.println(code == 0 ? "held" : code == 1 ? "broken" : "could not run");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    Instance addInstance(String name, String zone, double cores) throws Exception {
        Instance instance = new Instance(name, zone, zones, cores, store.open(), folder, recorder);
        instances.put(name, instance);
        return instance;
    }

    Minion addMinion(String id, String zone, long cpu, String... labels) throws Exception {
        Minion minion = new Minion(id, zone, SERVICE, cpu, List.of(labels), store, recorder);
        minions.put(id, minion);
        minion.start();
        return minion;
    }

    /** Starts all instances, and waits until they are ready and traffic may begin. */
    void startInstances() throws Exception {
        for (Instance instance : instances.values()) instance.start();
        awaitReady(instances.values());
        Recorder.sleep(2_000);
        recorder.line("case", "all instances are ready; traffic begins");
    }

    void awaitReady(Collection<Instance> awaited) {
        long until = Recorder.nowMillis() + 30_000;
        for (Instance instance : awaited) {
            while (!instance.isReady()) {
                if (Recorder.nowMillis() > until) throw new CannotRun(instance.name + " is not ready");
                Recorder.sleep(100);
            }
        }
    }

    /** A client's request at the front address of an instance. */
    Http.Response call(Instance at, String method, String id, String body, int deadlineMillis) {
        Map<String, String> headers = Map.of("Host", HOST, "X-Deadline-Ms", Integer.toString(deadlineMillis));
        recorder.line("client", method + " " + id + " at " + at.name + (body.isEmpty() ? "" : " " + body));
        Http.Response response = Http.call(at.frontPort, method, PREFIX + id, headers, body, deadlineMillis);
        recorder.line("client", method + " " + id + " -> " + (response.status() == 0 ? "no answer: " : response.status() + " ") + response.body());
        return response;
    }

    /**
     * Hands a job in; after no answer, 502 or 504, sends the request again under the same id, 1,300 ms later.
     *
     * Returns the status of the last answer.
     */
    int submit(Instance at, String id, String spec, Map<String, Object> step, boolean longRunning) {
        Map<String, Object> job = Json.map("spec", spec, "steps", List.of(step));
        if (longRunning) job.put("longRunning", true);
        for (int attempt = 0; attempt < 5; attempt++) {
            int status = call(at, "POST", id, Json.write(job), 2_000).status();
            if (status != 0 && status != 502 && status != 504) return status;
            Recorder.sleep(1_300);
        }
        return 504;
    }

    /** The state that a GET shows, or "" if there is none. */
    String state(Instance at, String id) {
        Http.Response response = call(at, "GET", id, "", 2_000);
        return response.status() == 200 ? (String) Json.object(response.body()).get("state") : "";
    }

    /** The value of `pending`, or -1 if there is none. */
    long pending(Instance at) {
        Http.Response response = call(at, "GET", "", "", 2_000);
        return response.status() == 200 ? Json.number(Json.object(response.body()), "pending") : -1;
    }

    /** All runs of tasks of the job {@code id}. */
    List<Minion.Run> runsOf(String id) {
        return minions.values().stream().flatMap(m -> m.all.stream()).filter(run -> run.task.startsWith(id + ".")).toList();
    }

    static Map<String, Object> step(int count, int cpu, int estimateMillis) {
        return Json.map("count", count, "cpu", cpu, "memMb", 64, "estimateMs", estimateMillis);
    }

    @Override
    public void close() throws Exception {
        Instance.endAll();
        for (Site sibling : siblings) sibling.close();
        store.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(folder);
    }
}
