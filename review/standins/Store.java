package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** The platform's metadata store: linearizable, with revisions, conditions, watches and leases. */
final class Store {
    private record Item(String key, String value, long revision, long createdAt, long lease) {
        Map<String, Object> toJson() {
            return Json.map("key", key, "value", value, "revision", revision, "createdAt", createdAt, "lease", lease);
        }
    }

    private record Event(long revision, String key, Map<String, Object> json, long atNanos) {
        Event(long revision, String key, Map<String, Object> json) {
            this(revision, key, json, System.nanoTime());
        }
    }

    private static final class Lease {
        final long ttlMillis;
        long endsNanos;

        Lease(long ttlMillis) {
            this.ttlMillis = ttlMillis;
            renew();
        }

        void renew() {
            endsNanos = System.nanoTime() + ttlMillis * 1_000_000;
        }
    }

    private static final int PAGE = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long droppedRevision;
    private final Map<Long, Lease> leases = new ConcurrentHashMap<>();
    /** Whether the store is down: without an answer, or with 503. */
    volatile boolean isSilent;
    volatile boolean isBusy;

    /** Time to an answer. */
    volatile long answerMillis = 2;

    /** Share of the writes that are done, {@link #lostDelayMillis} later, and not answered. */
    volatile double lostShare;
    volatile long lostDelayMillis;
    private long revision = 100;
    private long nextLease = 1;
    private final Http.Server server;

    Store() throws IOException {
        server = new Http.Server(0, (exchange, query, body) -> {
            if (isSilent) {
                while (isSilent) Thread.sleep(20);
                return null;
            }
            if (isBusy) return new Http.Answer(503, "{}");
            String path = exchange.getRequestURI().getPath();
            boolean isWrite = path.equals("/v1/kv-txn");
            boolean isLost = isWrite && ThreadLocalRandom.current().nextDouble() < lostShare;
            Thread.sleep(isLost ? Math.max(answerMillis, lostDelayMillis) : answerMillis);
            Http.Answer answer = handle(exchange.getRequestMethod(), path, query, body);
            return isLost ? null : answer;
        });
        Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return server.address();
    }

    /** Writes [value] as the operator or a minion does. */
    synchronized void put(String key, String value) {
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) erase(key, ++revision);
        notifyAll();
    }

    private void write(String key, String value, long lease, long at) {
        Item before = items.get(key);
        Item item = new Item(key, value, at, before == null ? at : before.createdAt(), lease);
        items.put(key, item);
        events.add(new Event(at, key, item.toJson()));
    }

    private void erase(String key, long at) {
        if (items.remove(key) == null) return;
        events.add(new Event(at, key, Json.map("key", key, "revision", at, "removed", true)));
    }

    private Http.Answer handle(String method, String path, Map<String, String> query, String body) throws Exception {
        if (path.equals("/v1/kv-key")) return key(query.get("key"));
        if (path.equals("/v1/kv-range")) return range(query.getOrDefault("prefix", ""), query.get("after"));
        if (path.equals("/v1/kv-watch")) return watch(query);
        if (path.equals("/v1/kv-txn")) return commit(Json.readMap(body));
        if (path.equals("/v1/kv-lease")) return grant(Json.number(Json.readMap(body), "ttlMs", 1_000));
        String id = path.substring(path.lastIndexOf('/') + 1);
        if (path.startsWith("/v1/kv-keep/")) return keep(Long.parseLong(id));
        if (path.startsWith("/v1/kv-lease-end/") && method.equals("DELETE")) return end(Long.parseLong(id));
        return new Http.Answer(404, "{}");
    }

    private synchronized Http.Answer key(String key) {
        Item item = items.get(key);
        if (item == null) return new Http.Answer(404, Json.write(Json.map("currentRev", revision)));
        Map<String, Object> json = item.toJson();
        json.put("currentRev", revision);
        return new Http.Answer(200, Json.write(json));
    }

    private synchronized Http.Answer range(String prefix, String after) {
        List<Object> page = new ArrayList<>();
        int bytes = 0;
        boolean hasMore = false;
        for (Item item : items.tailMap(prefix, true).values()) {
            if (!item.key().startsWith(prefix)) break;
            if (after != null && item.key().compareTo(after) <= 0) continue;
            if (page.size() == PAGE || bytes > PAGE_BYTES) {
                hasMore = true;
                break;
            }
            page.add(item.toJson());
            bytes += item.value().length();
        }
        return new Http.Answer(200, Json.write(Json.map("items", page, "hasMore", hasMore, "currentRev", revision)));
    }

    private synchronized Http.Answer watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long untilNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            if (after < droppedRevision) return new Http.Answer(410, "{}");
            List<Object> found = new ArrayList<>();
            for (int i = events.size() - 1; i >= 0 && events.get(i).revision() > after; i--) {
                if (events.get(i).key().startsWith(prefix)) found.add(0, events.get(i).json());
            }
            long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMillis <= 0) {
                return new Http.Answer(200, Json.write(Json.map("events", found, "currentRev", revision)));
            }
            wait(leftMillis);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer commit(Map<String, Object> body) {
        List<Object> conditions = (List<Object>) body.getOrDefault("precondition", List.of());
        boolean holds = true;
        List<Object> present = new ArrayList<>();
        for (Object row : conditions) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = items.get(Json.text(condition, "key"));
            if ((item == null ? 0 : item.revision()) != Json.number(condition, "revision", 0)) holds = false;
            if (item != null) present.add(item.toJson());
        }
        if (!holds) return new Http.Answer(412, Json.write(Json.map("items", present)));
        List<Object> writes = (List<Object>) body.getOrDefault("writes", List.of());
        for (Object row : writes) {
            long lease = Json.number((Map<String, Object>) row, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) return new Http.Answer(404, "{}");
        }
        long at = ++revision;
        for (Object row : writes) {
            Map<String, Object> write = (Map<String, Object>) row;
            write(Json.text(write, "key"), Json.text(write, "value"), Json.number(write, "lease", 0), at);
        }
        for (Object key : (List<Object>) body.getOrDefault("remove", List.of())) erase((String) key, at);
        notifyAll();
        return new Http.Answer(200, Json.write(Json.map("revision", at)));
    }

    private synchronized Http.Answer grant(long ttlMillis) {
        long id = nextLease++;
        leases.put(id, new Lease(ttlMillis));
        return new Http.Answer(200, Json.write(Json.map("lease", id, "ttlMs", ttlMillis)));
    }

    private synchronized Http.Answer keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return new Http.Answer(404, "{}");
        lease.renew();
        return new Http.Answer(200, Json.write(Json.map("lease", id, "ttlMs", lease.ttlMillis)));
    }

    private synchronized Http.Answer end(long id) {
        if (leases.remove(id) == null) return new Http.Answer(404, "{}");
        eraseKeysOf(id);
        return new Http.Answer(200, "{}");
    }

    private void eraseKeysOf(long lease) {
        List<String> keys = new ArrayList<>();
        for (Item item : items.values()) if (item.lease() == lease) keys.add(item.key());
        if (keys.isEmpty()) return;
        long at = ++revision;
        keys.forEach(key -> erase(key, at));
        notifyAll();
    }

    private void dropHistory() {
        int old = 0;
        while (old < events.size() && System.nanoTime() - events.get(old).atNanos() > HISTORY_NANOS) old++;
        if (old == 0) return;
        droppedRevision = events.get(old - 1).revision();
        events.subList(0, old).clear();
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                for (Map.Entry<Long, Lease> entry : new LinkedHashMap<>(leases).entrySet()) {
                    if (System.nanoTime() - entry.getValue().endsNanos < 0) continue;
                    leases.remove(entry.getKey());
                    eraseKeysOf(entry.getKey());
                }
                dropHistory();
            }
            Site.sleep(100);
        }
    }
}
