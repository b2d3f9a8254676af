package review3;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A minion of PROTOCOL.md with one life after the other at the same address and under the same id.
 *
 * Its spec tells how long a task runs: {@code run=MILLIS} or {@code run=forever}.
 */
final class Minion {
    /** One run of a task; {@code endMillis} is -1 while it goes on. */
    static final class Run {
        final String minion;
        final String task;
        final long attempt;
        final List<String> labels;
        final long startMillis;
        volatile long endMillis = -1;
        volatile String how = "";
        final long lengthMillis;

        Run(String minion, String task, long attempt, List<String> labels, String spec) {
            this.minion = minion;
            this.task = task;
            this.attempt = attempt;
            this.labels = labels;
            this.startMillis = Recorder.nowMillis();
            String length = value(spec, "run");
            this.lengthMillis = length.equals("forever") ? -1 : Long.parseLong(length);
        }
    }

    private static String value(String spec, String name) {
        return spec.substring(spec.indexOf(name + "=") + name.length() + 1).split(" ")[0];
    }

    private static final long HOLD_MAX_MILLIS = 1_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final int MAX_ENDS = 500;

    final String id;
    final String zone;
    private final String service;
    private final Store store;
    private final Recorder recorder;
    private final long cpu;
    private final int port = Http.freePort();

    /** All runs of all lives. */
    final List<Run> all = new CopyOnWriteArrayList<>();

    /** While it is set, starts are answered 503, and nothing is done; all else is healthy. */
    volatile boolean isGrey;

    /** While it is set, no heartbeat reaches the store. */
    volatile boolean isCutFromStore;

    /** Time of the last heartbeat. */
    volatile long beatMillis;

    /** Time of the last poll. */
    volatile long polledMillis;

    private List<String> labels;
    private Life life;
    private int seqNo;

    Minion(String id, String zone, String service, long cpu, List<String> labels, Store store, Recorder recorder) {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.cpu = cpu;
        this.labels = labels;
        this.store = store;
        this.recorder = recorder;
    }

    /** Begins a life with {@code labels}; its entry is in the store before it listens. */
    synchronized void start(List<String> newLabels) throws Exception {
        labels = newLabels;
        seqNo = 0;
        life = new Life();
        register();
        life.open();
        Life started = life;
        Http.thread(() -> {
            // The heartbeats of different minions come at different times.
            Recorder.sleep(ThreadLocalRandom.current().nextLong(HEARTBEAT_MILLIS));
            while (!started.ended) {
                beat(started);
                Recorder.sleep(HEARTBEAT_MILLIS);
            }
        });
        recorder.line(id, "a life begins with labels " + labels);
    }

    void start() throws Exception {
        start(labels);
    }

    private synchronized void beat(Life of) {
        if (!of.ended && life == of && !isCutFromStore) register();
    }

    /** Cuts the path to the store, where the entry ends three intervals after the last heartbeat. */
    void cutFromStore() {
        isCutFromStore = true;
        recorder.line(id, "is cut off from the store");
        Http.thread(() -> {
            Recorder.sleepUntil(beatMillis + 3 * HEARTBEAT_MILLIS);
            if (!isCutFromStore) return;
            store.remove("servers/" + id);
            recorder.line(id, "its entry has expired");
        });
    }

    private void register() {
        beatMillis = Recorder.nowMillis();
        store.put("servers/" + id, Json.map("service", service, "address", "127.0.0.1:" + port, "zone", zone, "version", "v1",
                "slots", 8, "state", "ready", "coldMs", 0, "seqNo", ++seqNo, "born", life.bornUnixMillis,
                "capacity", Json.map("cpu", cpu, "memMb", 65536, "gpu", 0), "labels", labels));
    }

    /** Ends the life without a word; the entry is removed after three silent heartbeat intervals. */
    synchronized void crash() {
        Life crashed = life;
        recorder.line(id, "crashes with " + crashed.running.size() + " runs");
        crashed.end();
        Http.thread(() -> {
            Recorder.sleep(3 * HEARTBEAT_MILLIS);
            synchronized (this) {
                if (life == crashed) store.remove("servers/" + id);
            }
        });
    }

    boolean isIdle() {
        return all.stream().allMatch(run -> run.endMillis >= 0);
    }

    /** All that is forgotten with a crash. */
    private final class Life {
        final long bornUnixMillis = System.currentTimeMillis();
        private final long bornMillis = Recorder.nowMillis();
        private final Map<String, Run> running = new LinkedHashMap<>();
        private final List<List<Object>> ends = new ArrayList<>();
        private final Map<String, Long> over = new HashMap<>();
        private long fencingToken;
        private long leaseMillis;
        private long nextEnd = 1;
        private volatile boolean ended;
        private Http.Server server;

        void open() throws Exception {
            server = new Http.Server(port, this::handle);
            Http.thread(this::keepTime);
        }

        private long clock() {
            return Recorder.nowMillis() - bornMillis;
        }

        synchronized void end() {
            ended = true;
            running.values().forEach(run -> {
                run.endMillis = Recorder.nowMillis();
                run.how = "crash";
            });
            running.clear();
            notifyAll();
            server.close();
        }

        private void keepTime() {
            while (!ended) {
                synchronized (this) {
                    boolean lapsed = clock() > leaseMillis;
                    for (Run run : List.copyOf(running.values())) {
                        if (lapsed) finish(run, "lapsed");
                        else if (run.lengthMillis >= 0 && Recorder.nowMillis() >= run.startMillis + run.lengthMillis) {
                            finish(run, "done");
                        }
                    }
                }
                Recorder.sleep(5);
            }
        }

        private void finish(Run run, String how) {
            if (!running.remove(run.task, run)) return;
            run.how = how;
            run.endMillis = Recorder.nowMillis();
            over.merge(run.task, run.attempt, Math::max);
            ends.add(List.of(nextEnd++, run.task, run.attempt, how, ""));
            recorder.line(id, "end " + run.task + " attempt " + run.attempt + ": " + how);
            notifyAll();
        }

        private Http.Response handle(Http.Request request) throws Exception {
            String expected = request.headers().get("x-expect-instance");
            if (expected != null && !expected.equals(id)) return answer(421, Json.map());
            if (request.path().equals("/health")) return new Http.Response(200, "{}");
            Map<String, Object> body = Json.object(request.body());
            synchronized (this) {
                if (request.path().equals("/v1/run-start") && isGrey) {
                    recorder.line(id, "answers 503 to the start of " + body.get("task") + " attempt " + body.get("attempt"));
                    return answer(503, Json.map());
                }
                if (Json.number(body, "fencingToken") < fencingToken) return answer(409, Json.map("reason", "fence"));
                fencingToken = Json.number(body, "fencingToken");
                return switch (request.path()) {
                    case "/v1/run-start" -> start(body);
                    case "/v1/run-stop" -> stop(body);
                    case "/v1/hold" -> hold(body);
                    default -> new Http.Response(404, "{}");
                };
            }
        }

        private void extend(Map<String, Object> body) {
            leaseMillis = Math.max(leaseMillis, Math.min(Json.number(body, "deadlineMs"), clock() + HOLD_MAX_MILLIS));
        }

        private Http.Response start(Map<String, Object> body) {
            String task = (String) body.get("task");
            long attempt = Json.number(body, "attempt");
            Run same = running.get(task);
            if (Json.number(body, "deadlineMs") < clock()) return answer(409, Json.map("reason", "late"));
            extend(body);
            if (same != null && same.attempt == attempt) return answer(200, Json.map());
            if (same != null || attempt <= over.getOrDefault(task, 0L)) return answer(409, Json.map("reason", "old"));
            Run run = new Run(id, task, attempt, labels, (String) body.get("spec"));
            running.put(task, run);
            all.add(run);
            recorder.line(id, "start " + task + " attempt " + attempt + " fencing token " + body.get("fencingToken"));
            return answer(200, Json.map());
        }

        private Http.Response stop(Map<String, Object> body) {
            String task = (String) body.get("task");
            long attempt = Json.number(body, "attempt");
            over.merge(task, attempt, Math::max);
            Run run = running.get(task);
            if (run != null && run.attempt <= attempt) {
                Http.thread(() -> {
                    Recorder.sleep(10);
                    synchronized (this) {
                        if (!ended) finish(run, "stopped");
                    }
                });
            }
            return answer(200, Json.map());
        }

        private Http.Response hold(Map<String, Object> body) throws InterruptedException {
            long seen = Json.number(body, "lastSeen");
            ends.removeIf(end -> (Long) end.get(0) <= seen);
            extend(body);
            polledMillis = Recorder.nowMillis();
            long until = Recorder.nowMillis() + Json.number(body, "waitMs");
            while (ends.isEmpty() && !ended && Recorder.nowMillis() < until) wait(until - Recorder.nowMillis() + 1);
            List<Object> rows = new ArrayList<>();
            running.values().forEach(run -> rows.add(List.of(run.task, run.attempt, "", 100, 0)));
            return answer(200, Json.map("running", rows, "finished", List.copyOf(ends.subList(0, Math.min(MAX_ENDS, ends.size())))));
        }

        private Http.Response answer(int status, Map<String, Object> fields) {
            fields.put("clockMs", clock());
            fields.put("born", bornUnixMillis);
            return new Http.Response(status, Json.write(fields));
        }
    }
}
