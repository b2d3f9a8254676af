package review;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** A small deployment on loopback: the store, minions, entry instances as processes, and clients. */
final class Site implements AutoCloseable {
    static final long HEARTBEAT_MILLIS = 1_500;
    private static final long FINISH_MILLIS = 14_000;
    private static final long STALLED_MILLIS = 3_000;
    static final String SERVICE = "orders";
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";

    /** An entry instance that runs as a process of its own. */
    static final class Instance {
        final String name;
        final String zone;
        final String front;
        final String ready;
        Path settings;
        volatile Process process;

        Instance(String name, String zone, String front, String ready) {
            this.name = name;
            this.zone = zone;
            this.front = front;
            this.ready = ready;
        }
    }

    /** What a client sends as one step. */
    record Step(int count, int cpu, int memMb, long estimateMillis, String requires, Map<String, Object> more) {
        Step(int count, int cpu, int memMb, long estimateMillis, String requires) {
            this(count, cpu, memMb, estimateMillis, requires, Map.of());
        }

        Map<String, Object> toJson() {
            Map<String, Object> json =
                    Json.map("count", count, "cpu", cpu, "memMb", memMb, "estimateMs", estimateMillis);
            if (!requires.isEmpty()) json.put("requires", requires);
            json.putAll(more);
            return json;
        }
    }

    final Record record;
    final Store store;
    final List<Minion> minions = new CopyOnWriteArrayList<>();
    final List<Instance> instances = new ArrayList<>();
    final List<Minion.Run> runs = new CopyOnWriteArrayList<>();
    final int maxAttempts;
    final Map<String, Step> steps = new ConcurrentHashMap<>();
    private final Path folder;
    private boolean closed;

    Site(Path recordFile, int maxAttempts) throws IOException {
        this.maxAttempts = maxAttempts;
        record = new Record(recordFile);
        folder = Files.createTempDirectory("review");
        store = new Store();
        store.put("op/config", Json.write(Json.map(
                "version", 3,
                "routes", List.of(Json.map(
                        "name", "q", "host", HOST, "prefix", PREFIX, "service", SERVICE, "timeoutMs", 1500,
                        "sloLatencyMs", 60, "priority", 0, "maxAttempts", maxAttempts, "stretch", 1.6)),
                "services", List.of(Json.map("name", SERVICE, "admissionCheck", true)),
                "limits", Json.map())));
    }

    Minion addMinion(String id, String zone, List<String> labels, Minion.Capacity capacity) throws IOException {
        return addMinion(id, zone, Http.freePort(), labels, capacity);
    }

    /** Adds a minion; one that has the id of an earlier one is its next life. */
    Minion addMinion(String id, String zone, int port, List<String> labels, Minion.Capacity capacity)
            throws IOException {
        minions.removeIf(minion -> minion.id.equals(id));
        Minion minion = new Minion(this, id, zone, port, labels, capacity);
        minions.add(minion);
        record.add("minion " + id + " starts in " + zone + " with labels " + labels);
        return minion;
    }

    boolean isCurrent(Minion minion) {
        return minions.contains(minion);
    }

    void onStart(Minion.Run run) {
        runs.add(run);
        record.add("minion " + run.minion.id + " starts " + run.task + " attempt " + run.attempt);
    }

    private Step step(String task) {
        String[] parts = task.split("\\.");
        return steps.get(parts[0] + "." + parts[2]);
    }

    Minion.Capacity demand(String task) {
        Step step = step(task);
        return step == null ? new Minion.Capacity(0, 0) : new Minion.Capacity(step.cpu(), step.memMb());
    }

    long runMillis(String task) {
        Step step = step(task);
        if (step == null) return 100;
        return step.more().containsKey("longRunning") ? Long.MAX_VALUE : step.estimateMillis();
    }

    /** Decides which runs end {@code failed}; none by default. */
    volatile Predicate<Minion.Run> failing = run -> false;

    boolean fails(Minion.Run run) {
        return failing.test(run);
    }

    /** Starts an entry instance with the command of the deploy file. */
    Instance startInstance(String name, String zone, List<String> zones) throws IOException {
        String control = Http.HOST + ":" + Http.freePort();
        Instance instance =
                new Instance(name, zone, Http.HOST + ":" + Http.freePort(), Http.HOST + ":" + Http.freePort());
        int metrics = Http.freePort();
        StringBuilder zoneTable = new StringBuilder();
        zones.forEach(other -> zoneTable.append(other).append(" = \"midlands\"\n"));
        String settings = """
                nodeName = "%s"
                role = "entry"
                machineClass = "front"
                serves = ["front","control"]
                ip = "%s"
                zone = "%s"
                region = "midlands"
                portRange = [%d,%d]
                seeds = ["%s"]
                bootstrap = true
                toleranceMember = false
                discovery = "platform"
                entry = "vip"
                heartbeatMs = %d
                contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
                controlMode = "invocation"
                [zones]
                %s
                [listen]
                front = "%s"
                ready = "%s"
                control = "%s"
                [limits]
                cpuShare = 0.75
                cores = 1
                memoryMb = 430
                maxFds = 4100
                linkMbps = 1000.0
                diskMb = 0
                [faultTolerance]
                machines = 2
                zones = 1
                regions = 0
                [bounds]
                contactMs = 3000
                ackMs = 4000
                drainMs = 2000
                graceS = 6
                configMs = 2000
                recoveryS = 12
                holdMaxMs = 1000
                stopMs = 50
                gangWaitMs = 3000
                cancel_ms = 3000
                visible_ms = 3000
                early_ms = 250
                finish_s = 14
                status_s = 120
                farX = 3
                checkpointIntervalS = 2
                restoreMs = 100
                retransmitMs = 1300
                [platform]
                address = "%s"
                form = "kv"
                writesPerS = 400
                readsPerS = 2000
                historyS = 20
                valueBytes = 1048576
                ttlMinMs = 1000
                """.formatted(name, Http.HOST, zone, metrics, metrics, control, HEARTBEAT_MILLIS, zoneTable,
                instance.front, instance.ready, control, store.address());
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings);
        instance.settings = file;
        instances.add(instance);
        restart(instance);
        return instance;
    }

    /** Starts the process of an entry instance, again if it has ended. */
    synchronized void restart(Instance instance) throws IOException {
        if (closed) throw new IllegalStateException("the site is closed");
        ProcessBuilder builder = new ProcessBuilder(runCommand());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("JACKDAWRING_NODE_FILE", instance.settings.toString());
        builder.redirectErrorStream(true);
        Path logs = Path.of(System.getProperty("review.logs", folder.toString()));
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logs.resolve(instance.name + ".log").toFile()));
        instance.process = builder.start();
        record.add("entry instance " + instance.name + " starts in " + instance.zone);
    }

    /** The command of the deploy file; this program runs in the root of the repository. */
    private static List<String> runCommand() throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("deploy/system.toml"))) {
            String line = lines.filter(text -> text.startsWith("run = ")).findFirst().orElseThrow();
            return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" +"));
        }
    }

    /** Waits until all entry instances are ready. */
    void awaitReady() {
        for (Instance instance : instances) {
            for (int tries = 0; ; tries++) {
                if (Http.send(instance.ready, "GET", "/v1/ready", HOST, "", 1_000).status() == 200) break;
                if (tries == 300) throw new IllegalStateException(instance.name + " is not ready");
                sleep(100);
            }
        }
        record.add("all entry instances are ready");
    }

    /** Submits a durable job of one step. */
    Http.Answer submit(Instance instance, String id, Step step) {
        return submit(instance, id, List.of(step), Map.of());
    }

    Http.Answer submit(Instance instance, String id, List<Step> jobSteps, Map<String, Object> more) {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < jobSteps.size(); i++) {
            steps.put(id + "." + i, jobSteps.get(i));
            list.add(jobSteps.get(i).toJson());
        }
        Map<String, Object> job = Json.map("spec", "text", "steps", list);
        job.putAll(more);
        return call(instance, "POST", id, Json.write(job));
    }

    /** Asks for the state of a job: its name, or the status of an answer without one. */
    String state(Instance instance, String id) {
        Http.Answer answer = call(instance, "GET", id, "");
        return answer.status() == 200 ? Json.text(Json.readMap(answer.body()), "state") : "status " + answer.status();
    }

    Http.Answer call(Instance instance, String method, String id, String body) {
        record.add("client sends " + method + " " + id + " to " + instance.name);
        Http.Answer answer = Http.send(instance.front, method, PREFIX + id, HOST, body, 1_500);
        record.add("client gets " + answer.status() + " " + answer.body().strip() + " for " + method + " " + id);
        return answer;
    }

    /**
     * Checks {@code finish_s} after the end of the traffic whether accepted jobs have nothing running for 3 s, although
     * under half of the capacity is in use; returns 1 if so.
     */
    int judgeStalled(List<String> jobs, long trafficEndMillis) {
        sleep(Math.max(0, trafficEndMillis + FINISH_MILLIS - record.nowMillis()));
        List<String> stalled = new ArrayList<>(jobs);
        for (long until = record.nowMillis() + STALLED_MILLIS; record.nowMillis() < until; sleep(50)) {
            boolean isBusy = 2 * cpu(true) > cpu(false);
            stalled.removeIf(id -> isBusy || hasRun(id));
        }
        int count = 0;
        for (String id : jobs) {
            String state = state(instances.get(0), id);
            boolean isStalled = stalled.contains(id) && !state.equals("completed");
            if (isStalled) count++;
            record.say("job " + id + " is shown as " + state + (isStalled ? ", nothing has run for 3 s" : ""));
        }
        record.say("used " + cpu(true) + " of " + cpu(false) + " thousandths of a core");
        record.say(count + " of " + jobs.size() + " accepted jobs have nothing running");
        return count > 0 ? 1 : 0;
    }

    private int cpu(boolean isUsedOnly) {
        return minions.stream().filter(Minion::isUp)
                .mapToInt(minion -> isUsedOnly ? minion.busyCpu() : minion.capacity.cpu()).sum();
    }

    /** Whether a minion has a run of the job now. */
    boolean hasRun(String id) {
        return runs.stream().anyMatch(run -> !run.isOver() && run.task.startsWith(id + "."));
    }

    List<Minion.Run> runsOf(String id) {
        return runs.stream().filter(run -> run.task.startsWith(id + ".")).toList();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Ends all processes and deletes the temporary folder; nothing can be started afterwards. */
    @Override
    public synchronized void close() throws IOException {
        if (closed) return;
        closed = true;
        for (Instance instance : instances) {
            try {
                if (instance.process != null) instance.process.destroyForcibly().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
