package review;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.ThreadLocalRandom;

/** A minion: one life of a server that runs tasks under a lease, and guards its capacity and its fencing token. */
final class Minion {
    /** Millicores, megabytes. */
    record Capacity(int cpu, int memMb) {
    }

    /** One start that was carried out. */
    static final class Run {
        final Minion minion;
        final String task;
        final long attempt;
        final long startedAtMillis;
        volatile long endedAtMillis = -1;
        volatile String how = "";
        volatile long notedAtMillis = -1;
        private long sequence;

        Run(Minion minion, String task, long attempt, long startedAtMillis) {
            this.minion = minion;
            this.task = task;
            this.attempt = attempt;
            this.startedAtMillis = startedAtMillis;
        }

        boolean isOver() {
            return endedAtMillis >= 0;
        }
    }

    private static final long HOLD_MAX_MILLIS = 1_000;
    private static final Timer TIMER = new Timer(true);

    final String id;
    final String zone;
    final List<String> labels;
    final Capacity capacity;
    private final Site site;
    private final int port;
    private final long bornUnixMillis = System.currentTimeMillis();
    private final long bornNanos = System.nanoTime();
    private final Http.Server server;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final List<Run> ended = new ArrayList<>();
    private final Map<String, Long> closedAttempts = new LinkedHashMap<>();
    private long nextSequence = 1;
    private long fence;
    private long leaseUntilMillis;
    private long lapsedAtMillis = -1;
    private long heartbeats;
    private volatile boolean up = true;

    /** Share of the orders that get no answer and are carried out {@link #lateMillis} later. */
    volatile double lateShare;
    volatile long lateMillis;

    /** Whether the minion is cut off and runs on. */
    volatile boolean isCut;

    Minion(Site site, String id, String zone, int port, List<String> labels, Capacity capacity) throws IOException {
        this.site = site;
        this.id = id;
        this.zone = zone;
        this.port = port;
        this.labels = labels;
        this.capacity = capacity;
        server = new Http.Server(port, this::handle);
        register();
        TIMER.schedule(new TimerTask() {
            @Override
            public void run() {
                if (!up) cancel();
                else register();
            }
        }, Site.HEARTBEAT_MILLIS, Site.HEARTBEAT_MILLIS);
    }

    boolean isUp() {
        return up;
    }

    private synchronized void register() {
        if (!up || isCut) return;
        site.store.put("servers/" + id, Json.write(Json.map(
                "service", Site.SERVICE, "address", server.address(), "zone", zone, "version", "v1", "slots", 8,
                "state", "ready", "coldMs", 0, "seqNo", ++heartbeats, "born", bornUnixMillis,
                "capacity", Json.map("cpu", capacity.cpu(), "memMb", capacity.memMb(), "gpu", 0),
                "labels", labels)));
    }

    /** Ends like a process that is killed; its registration goes after three heartbeat intervals without one. */
    void crash() {
        synchronized (this) {
            up = false;
            for (Run run : new ArrayList<>(runs.values())) {
                run.endedAtMillis = site.record.nowMillis();
                run.how = "crashed";
            }
            runs.clear();
        }
        server.close();
        site.record.add("minion " + id + " crashes");
        TIMER.schedule(new TimerTask() {
            @Override
            public void run() {
                if (site.isCurrent(Minion.this)) site.store.remove("servers/" + id);
            }
        }, 3 * Site.HEARTBEAT_MILLIS);
    }

    int port() {
        return port;
    }

    /** Names of the tasks that run now. */
    synchronized List<String> running() {
        List<String> tasks = new ArrayList<>();
        runs.values().forEach(run -> tasks.add(run.task));
        return tasks;
    }

    synchronized int busyCpu() {
        int sum = 0;
        for (Run run : runs.values()) sum += site.demand(run.task).cpu();
        return sum;
    }

    private long clockMillis() {
        return 400_000 + (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private Http.Answer handle(HttpExchange exchange, Map<String, String> query, String text) throws Exception {
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) return new Http.Answer(421, "{}");
        Map<String, Object> body = Json.readMap(text);
        if (isCut) {
            while (isCut && up) Site.sleep(20);
            return null;
        }
        boolean isLate = ThreadLocalRandom.current().nextDouble() < lateShare;
        if (isLate) Thread.sleep(lateMillis);
        if (!up) return null;
        Http.Answer answer = carryOut(exchange, body);
        return isLate || isCut ? null : answer;
    }

    private Http.Answer carryOut(HttpExchange exchange, Map<String, Object> body) throws Exception {
        return switch (exchange.getRequestURI().getPath()) {
            case "/v1/run-start" -> start(body);
            case "/v1/run-stop" -> stop(body);
            case "/v1/hold" -> hold(body);
            default -> new Http.Answer(404, "{}");
        };
    }

    private Http.Answer reply(int status, String reason) {
        Map<String, Object> json = Json.map("clockMs", clockMillis());
        if (!reason.isEmpty()) json.put("reason", reason);
        return new Http.Answer(status, Json.write(json));
    }

    private boolean isFenced(Map<String, Object> body) {
        long token = Json.number(body, "fencingToken", 0);
        if (token < fence) return true;
        fence = token;
        return false;
    }

    private synchronized Http.Answer start(Map<String, Object> body) {
        if (isFenced(body)) return reply(409, "fence");
        String task = Json.text(body, "task");
        long attempt = Json.number(body, "attempt", 0);
        long deadline = Json.number(body, "deadlineMs", 0);
        if (deadline <= clockMillis()) return reply(409, "late");
        extendLease(deadline);
        Run known = runs.get(task);
        if (known != null && known.attempt == attempt) return reply(200, "");
        if (attempt <= closedAttempts.getOrDefault(task, 0L) || known != null) return reply(409, "old");
        Capacity demand = site.demand(task);
        int cpu = 0;
        int memMb = 0;
        for (Run run : runs.values()) {
            cpu += site.demand(run.task).cpu();
            memMb += site.demand(run.task).memMb();
        }
        if (cpu + demand.cpu() > capacity.cpu() || memMb + demand.memMb() > capacity.memMb()) return reply(409, "room");
        Run run = new Run(this, task, attempt, site.record.nowMillis());
        runs.put(task, run);
        site.onStart(run);
        long millis = site.runMillis(task);
        if (millis == Long.MAX_VALUE) return reply(200, "");
        TIMER.schedule(new TimerTask() {
            @Override
            public void run() {
                end(run, site.fails(run) ? "failed" : "done");
            }
        }, millis);
        return reply(200, "");
    }

    private void extendLease(long deadline) {
        leaseUntilMillis = Math.max(leaseUntilMillis, Math.min(deadline, clockMillis() + HOLD_MAX_MILLIS));
        scheduleExpiry();
    }

    private void scheduleExpiry() {
        TIMER.schedule(new TimerTask() {
            @Override
            public void run() {
                expireLease();
            }
        }, Math.max(1, leaseUntilMillis - clockMillis() + 1));
    }

    private synchronized void expireLease() {
        if (!up) return;
        if (clockMillis() <= leaseUntilMillis) {
            // The lease was renewed, which has a check of its own, or the timer was a little early.
            if (leaseUntilMillis - clockMillis() < 5) scheduleExpiry();
            return;
        }
        lapsedAtMillis = site.record.nowMillis();
        new ArrayList<>(runs.values()).forEach(run -> end(run, "lapsed"));
    }

    private synchronized void end(Run run, String how) {
        if (!up || runs.get(run.task) != run) return;
        runs.remove(run.task);
        closedAttempts.merge(run.task, run.attempt, Math::max);
        run.sequence = nextSequence++;
        run.how = how;
        run.endedAtMillis = site.record.nowMillis();
        ended.add(run);
        site.record.add("minion " + id + " ends " + run.task + " attempt " + run.attempt + ": " + how);
        notifyAll();
    }

    private synchronized Http.Answer stop(Map<String, Object> body) {
        if (isFenced(body)) return reply(409, "fence");
        String task = Json.text(body, "task");
        long attempt = Json.number(body, "attempt", 0);
        Run run = runs.get(task);
        if (run != null && run.attempt <= attempt) end(run, "stopped");
        closedAttempts.merge(task, attempt, Math::max);
        return reply(200, "");
    }

    private synchronized Http.Answer hold(Map<String, Object> body) throws InterruptedException {
        if (isFenced(body)) return reply(409, "fence");
        if (body.containsKey("deadlineMs")) extendLease(Json.number(body, "deadlineMs", 0));
        long lastSeen = Json.number(body, "lastSeen", 0);
        for (Run run : ended) {
            // An end isn't taken note of if the lease has lapsed since.
            if (run.sequence <= lastSeen && lapsedAtMillis < run.endedAtMillis) {
                run.notedAtMillis = site.record.nowMillis();
            }
        }
        ended.removeIf(run -> run.sequence <= lastSeen);
        long untilNanos = System.nanoTime() + Math.min(2_000, Json.number(body, "waitMs", 0)) * 1_000_000;
        while (up && ended.isEmpty()) {
            long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) break;
            wait(leftMillis);
        }
        if (!up) return null;
        List<Object> running = new ArrayList<>();
        for (Run run : runs.values()) running.add(List.of(run.task, run.attempt, "", 100));
        List<Object> finished = new ArrayList<>();
        for (Run run : ended) {
            if (finished.size() < 500) finished.add(List.of(run.sequence, run.task, run.attempt, run.how, ""));
        }
        return new Http.Answer(200, Json.write(Json.map(
                "clockMs", clockMillis(), "born", bornUnixMillis, "running", running, "finished", finished)));
    }
}
