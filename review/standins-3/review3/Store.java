package review3;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** The platform's store of PROTOCOL.md: linearizable, answers in 4 ms, history of all changes. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long revision, long createdAt, long lease) {}

    private record Change(String key, long revision, Item item) {}

    private static final class Lease {
        long ttlMillis;
        long endsAtMillis;
    }

    private static final int PAGE_ITEMS = 500;
    private static final int ANSWER_MILLIS = 4;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Recorder recorder;
    private long revision = 1;
    private long nextLease = 1;

    /** Decides about each write that was applied whether its answer is lost. */
    volatile Predicate<String> losesAnswer = body -> false;

    /** The path of one machine to the store. */
    final class Door {
        final int port = Http.freePort();

        /** While it is set, nothing passes. */
        volatile boolean isCut;

        /** Addresses of other machines, and those of the paths by which this machine reaches them. */
        final Map<String, String> paths = new ConcurrentHashMap<>();
        private final Http.Server server;

        private Door() throws Exception {
            server = new Http.Server(port, this::handle);
        }

        private Http.Response handle(Http.Request request) throws Exception {
            if (isCut) return Http.Response.SILENT;
            door.set(this);
            Http.Response response = Store.this.handle(request);
            return isCut ? Http.Response.SILENT : response;
        }

        /** The value of an item as this machine sees it. */
        private String value(Item item) {
            if (paths.isEmpty() || !item.key().startsWith("jackdawring/")) return item.value();
            String text = new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
            for (Map.Entry<String, String> path : paths.entrySet()) text = text.replace('"' + path.getKey() + '"', '"' + path.getValue() + '"');
            return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** The door through which the call of this thread came. */
    private final ThreadLocal<Door> door = new ThreadLocal<>();
    private final List<Door> doors = new ArrayList<>();

    Store(Recorder recorder) {
        this.recorder = recorder;
        Http.thread(this::expireLeases);
    }

    synchronized Door open() throws Exception {
        Door opened = new Door();
        doors.add(opened);
        return opened;
    }

    synchronized void put(String key, Object value) {
        String text = value instanceof String s ? s : Json.write(value);
        write(++revision, key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        history.add(new Change(key, ++revision, null));
        notifyAll();
    }

    synchronized String read(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void write(long at, String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item(key, value, at, before == null ? at : before.createdAt(), lease);
        items.put(key, item);
        history.add(new Change(key, at, item));
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = Recorder.nowMillis();
                leases.entrySet().removeIf(entry -> {
                    if (entry.getValue().endsAtMillis > now) return false;
                    endKeys(entry.getKey());
                    return true;
                });
            }
            Recorder.sleep(20);
        }
    }

    private void endKeys(long lease) {
        List<String> keys = items.values().stream().filter(i -> i.lease() == lease).map(Item::key).toList();
        keys.forEach(this::remove);
    }

    private Http.Response handle(Http.Request request) throws Exception {
        Recorder.sleep(ANSWER_MILLIS);
        Map<String, Object> body = request.body().isEmpty() ? Map.of() : Json.object(request.body());
        String path = request.path();
        if (path.equals("/v1/kv-key")) return key(request.query().get("key"));
        if (path.equals("/v1/kv-range")) return range(request.query().get("prefix"), request.query().getOrDefault("after", ""));
        if (path.equals("/v1/kv-watch")) return watch(request.query());
        if (path.equals("/v1/kv-txn")) return commit(body, request.body());
        if (path.equals("/v1/kv-lease")) return grant(Json.number(body, "ttlMs"));
        if (path.startsWith("/v1/kv-keep/")) return keep(Long.parseLong(path.substring("/v1/kv-keep/".length())));
        if (path.startsWith("/v1/kv-lease-end/")) return end(Long.parseLong(path.substring("/v1/kv-lease-end/".length())));
        return new Http.Response(404, "{}");
    }

    private synchronized Http.Response key(String key) {
        Item item = items.get(key);
        if (item == null) return new Http.Response(404, Json.write(Json.map("currentRev", revision)));
        Map<String, Object> json = json(item);
        json.put("currentRev", revision);
        return new Http.Response(200, Json.write(json));
    }

    private synchronized Http.Response range(String prefix, String after) {
        List<Object> found = new ArrayList<>();
        boolean hasMore = false;
        for (Item item : items.tailMap(prefix, true).values()) {
            if (!item.key().startsWith(prefix)) break;
            if (item.key().compareTo(after) <= 0) continue;
            if (found.size() == PAGE_ITEMS) {
                hasMore = true;
                break;
            }
            found.add(json(item));
        }
        return new Http.Response(200, Json.write(Json.map("items", found, "hasMore", hasMore, "currentRev", revision)));
    }

    private synchronized Http.Response watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = Recorder.nowMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).revision() > after; i--) {
                Change change = history.get(i);
                if (!change.key().startsWith(query.get("prefix"))) continue;
                events.add(0, change.item() != null ? json(change.item())
                        : Json.map("key", change.key(), "revision", change.revision(), "removed", true));
            }
            long left = until - Recorder.nowMillis();
            if (!events.isEmpty() || left <= 0) {
                return new Http.Response(200, Json.write(Json.map("events", events, "currentRev", revision)));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Response commit(Map<String, Object> body, String text) {
        List<Object> conditions = (List<Object>) body.getOrDefault("precondition", List.of());
        List<Object> writes = (List<Object>) body.getOrDefault("writes", List.of());
        List<Object> removals = (List<Object>) body.getOrDefault("remove", List.of());
        for (Object each : writes) {
            long lease = Json.number((Map<String, Object>) each, "lease");
            if (lease != 0 && !leases.containsKey(lease)) return new Http.Response(404, "{}");
        }
        boolean holds = true;
        List<Object> present = new ArrayList<>();
        for (Object each : conditions) {
            Map<String, Object> condition = (Map<String, Object>) each;
            Item item = items.get((String) condition.get("key"));
            if (item != null) present.add(json(item));
            if ((item == null ? 0 : item.revision()) != Json.number(condition, "revision")) holds = false;
        }
        if (!holds) return new Http.Response(412, Json.write(Json.map("items", present, "currentRev", revision)));
        long at = ++revision;
        List<String> keys = new ArrayList<>();
        for (Object each : writes) {
            Map<String, Object> write = (Map<String, Object>) each;
            keys.add((String) write.get("key"));
            write(at, (String) write.get("key"), (String) write.get("value"), Json.number(write, "lease"));
        }
        for (Object key : removals) {
            keys.add("-" + key);
            if (items.remove((String) key) != null) history.add(new Change((String) key, at, null));
        }
        notifyAll();
        boolean lost = losesAnswer.test(text);
        recorder.line("store", "write at revision " + at + (lost ? ", ANSWER LOST" : "") + ": " + keys);
        if (lost) return Http.Response.SILENT;
        return new Http.Response(200, Json.write(Json.map("revision", at)));
    }

    private synchronized Http.Response grant(long ttlMillis) {
        Lease lease = new Lease();
        lease.ttlMillis = ttlMillis;
        lease.endsAtMillis = Recorder.nowMillis() + ttlMillis;
        leases.put(nextLease, lease);
        return new Http.Response(200, Json.write(Json.map("lease", nextLease++, "ttlMs", ttlMillis)));
    }

    private synchronized Http.Response keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return new Http.Response(404, "{}");
        lease.endsAtMillis = Recorder.nowMillis() + lease.ttlMillis;
        return new Http.Response(200, Json.write(Json.map("lease", id, "ttlMs", lease.ttlMillis)));
    }

    private synchronized Http.Response end(long id) {
        if (leases.remove(id) == null) return new Http.Response(404, "{}");
        endKeys(id);
        return new Http.Response(200, "{}");
    }

    private Map<String, Object> json(Item item) {
        return Json.map("key", item.key(), "value", door.get().value(item), "revision", item.revision(), "createdAt",
                item.createdAt(), "lease", item.lease());
    }

    @Override
    public synchronized void close() {
        doors.forEach(each -> each.server.close());
    }
}
