import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A minion: capacity, fencing token, one lease for all runs, numbered ends, and its entry in the store.
 *
 * The work of a task is the number of milliseconds in its spec ("work=400"); "work=0" lasts until it is stopped. A task
 * with "poison" in its spec fails after its work.
 */
final class Minion implements AutoCloseable {
    private static final long HOLD_MAX_MS = 1_000;
    private static final long HEARTBEAT_MS = 1_500;

    /** Whoever wants to know of starts and ends. */
    interface Watcher {
        void started(Minion minion, Run run);

        void ended(Minion minion, Run run, String how);
    }

    static final class Run {
        final String task;
        final long attempt;
        final String spec;
        final long startedAt = now();
        boolean over;

        Run(String task, long attempt, String spec) {
            this.task = task;
            this.attempt = attempt;
            this.spec = spec;
        }

        String job() {
            return task.substring(0, task.indexOf('.'));
        }

        long workMs() {
            return Long.parseLong(spec.replaceAll(".*work=(\\d+).*", "$1"));
        }
    }

    final String id;
    final String zone;
    final String service;
    private final int cpu;
    private final Store store;
    private final Watcher watcher;
    private final Object lock = new Object();
    private List<String> labels;
    private Web web;
    private final int port;

    /** A second address of the same minion, for callers whose path to it can be cut by itself. */
    private Web insideWeb;
    private final int insidePort;

    /** Whether calls at the first address, and the minion's heartbeats, get lost. */
    volatile boolean isCutOutside;

    /** Whether calls at the second address get lost. */
    volatile boolean isCutInside;

    /** Changes with each life, so that timers of an earlier one have no effect. */
    private int life;
    private long bornUnixMs;
    private long bornAt;
    private long fencingToken;
    private long holdUntil;
    private long nextEnd;
    private long seqNo;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Long> highestOver = new HashMap<>();
    private final List<List<Object>> ends = new ArrayList<>();

    Minion(String id, String zone, String service, int cpu, List<String> labels, Store store, Watcher watcher) throws Exception {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.cpu = cpu;
        this.labels = labels;
        this.store = store;
        this.watcher = watcher;
        port = Site.freePort();
        insidePort = Site.freePort();
        start();
        Thread thread = new Thread(this::heartbeats, "minion " + id);
        thread.setDaemon(true);
        thread.start();
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    boolean isUp() {
        synchronized (lock) {
            return web != null;
        }
    }

    List<String> labels() {
        synchronized (lock) {
            return labels;
        }
    }

    private void start() throws Exception {
        synchronized (lock) {
            life++;
            bornUnixMs = System.currentTimeMillis();
            bornAt = now();
            fencingToken = 0;
            holdUntil = 0;
            nextEnd = 1;
            seqNo = 0;
            runs.clear();
            highestOver.clear();
            ends.clear();
            register();
            web = new Web(port, call -> isCutOutside ? lose(() -> isCutOutside) : handle(call));
            insideWeb = new Web(insidePort, call -> isCutInside ? lose(() -> isCutInside) : handle(call));
        }
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    String insideAddress() {
        return "127.0.0.1:" + insidePort;
    }

    /** Leaves a call without an answer for as long as [isCut] says. */
    static Web.Answer lose(java.util.function.BooleanSupplier isCut) throws InterruptedException {
        while (isCut.getAsBoolean()) Thread.sleep(20);
        return null;
    }

    private void register() {
        seqNo++;
        store.put("servers/" + id, Json.write(Json.map(
            "service", service, "address", address(), "zone", zone, "version", "v1", "slots", 8,
            "state", "ready", "coldMs", 0, "capacity", Json.map("cpu", cpu, "memMb", 65536, "gpu", 0),
            "labels", labels, "born", bornUnixMs, "clockMs", now() - bornAt, "seqNo", seqNo)));
    }

    private void heartbeats() {
        long silentSince = 0;
        while (true) {
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (lock) {
                if (web != null && !isCutOutside) {
                    silentSince = 0;
                    register();
                } else {
                    if (silentSince == 0) silentSince = now();
                    if (now() - silentSince >= 2 * HEARTBEAT_MS) store.remove("servers/" + id);
                }
            }
        }
    }

    /** Kills the minion: its runs end, and nothing is known of them afterwards. */
    void crash() {
        synchronized (lock) {
            if (web == null) return;
            life++;
            for (Run run : runs.values()) {
                run.over = true;
                watcher.ended(this, run, "crashed");
            }
            runs.clear();
            web.close();
            insideWeb.close();
            web = null;
            lock.notifyAll();
        }
    }

    /** Starts again under the same id and address; [newLabels] are those of this life. */
    void restart(List<String> newLabels) throws Exception {
        synchronized (lock) {
            labels = newLabels;
            start();
        }
    }

    private Web.Answer handle(Web.Call call) throws Exception {
        synchronized (lock) {
            if (web == null) return null;
            if (call.path().equals("/health")) return new Web.Answer(200, Map.of());
            if (call.instance() != null && !call.instance().equals(id)) return new Web.Answer(421, Map.of());
            long token = Json.number(call.body(), "fencingToken", 0);
            if (token < fencingToken) return conflict("fence");
            fencingToken = token;
            return switch (call.path()) {
                case "/v1/run-start" -> runStart(call.body());
                case "/v1/run-stop" -> runStop(call.body());
                case "/v1/hold" -> hold(call.body());
                default -> new Web.Answer(404, Map.of());
            };
        }
    }

    private long clock() {
        return now() - bornAt;
    }

    private Web.Answer ok() {
        return new Web.Answer(200, Json.map("clockMs", clock(), "born", bornUnixMs));
    }

    private Web.Answer conflict(String reason) {
        return new Web.Answer(409, Json.map("clockMs", clock(), "reason", reason));
    }

    private void extend(long deadlineMs) {
        holdUntil = Math.max(holdUntil, Math.min(deadlineMs, clock() + HOLD_MAX_MS));
        int current = life;
        after(holdUntil - clock() + 1, () -> {
            if (life != current || clock() <= holdUntil) return;
            for (Run run : new ArrayList<>(runs.values())) end(run, "lapsed");
        });
    }

    private void after(long delayMs, Runnable action) {
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(Math.max(0, delayMs));
            } catch (InterruptedException e) {
                return;
            }
            synchronized (lock) {
                action.run();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private Web.Answer runStart(Map<String, Object> body) {
        String task = (String) body.get("task");
        long attempt = Json.number(body, "attempt", 0);
        long deadlineMs = Json.number(body, "deadlineMs", 0);
        String spec = (String) body.get("spec");
        if (deadlineMs < clock()) return conflict("late");
        extend(deadlineMs);
        Run known = runs.get(task);
        if (known != null && known.attempt == attempt) return ok();
        if (known != null || attempt <= highestOver.getOrDefault(task, 0L)) return conflict("old");
        long used = runs.values().stream().mapToLong(Minion::cpuOf).sum();
        Run run = new Run(task, attempt, spec);
        if (used + cpuOf(run) > cpu) return conflict("room");
        runs.put(task, run);
        watcher.started(this, run);
        int current = life;
        if (run.workMs() > 0) {
            after(run.workMs(), () -> {
                if (life == current && !run.over) end(run, spec.contains("poison") ? "failed" : "done");
            });
        }
        return ok();
    }

    private static long cpuOf(Run run) {
        return Long.parseLong(run.spec.replaceAll(".*cpu=(\\d+).*", "$1"));
    }

    private Web.Answer runStop(Map<String, Object> body) {
        String task = (String) body.get("task");
        long attempt = Json.number(body, "attempt", 0);
        highestOver.merge(task, attempt, Math::max);
        Run run = runs.get(task);
        if (run != null && run.attempt <= attempt) end(run, "stopped");
        return ok();
    }

    private void end(Run run, String how) {
        if (run.over) return;
        run.over = true;
        runs.remove(run.task);
        highestOver.merge(run.task, run.attempt, Math::max);
        ends.add(List.of(nextEnd++, run.task, run.attempt, how, ""));
        watcher.ended(this, run, how);
        lock.notifyAll();
    }

    private Web.Answer hold(Map<String, Object> body) throws InterruptedException {
        int current = life;
        if (body.get("deadlineMs") != null) extend(Json.number(body, "deadlineMs", 0));
        long lastSeen = Json.number(body, "lastSeen", 0);
        ends.removeIf(end -> (Long) end.get(0) <= lastSeen);
        long until = now() + Json.number(body, "waitMs", 0);
        while (ends.isEmpty() && life == current && now() < until) lock.wait(until - now());
        if (life != current) return null;
        List<Object> running = new ArrayList<>();
        for (Run run : runs.values()) running.add(List.of(run.task, run.attempt, "", 100, cpuOf(run)));
        List<Object> listed = new ArrayList<>(ends.subList(0, Math.min(500, ends.size())));
        return new Web.Answer(200, Json.map("clockMs", clock(), "born", bornUnixMs, "running", running, "finished", listed));
    }

    @Override
    public void close() {
        synchronized (lock) {
            life++;
            if (web != null) {
                web.close();
                insideWeb.close();
            }
            web = null;
            lock.notifyAll();
        }
    }
}
