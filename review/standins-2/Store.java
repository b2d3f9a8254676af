import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: revisions, conditions, leases and watches; each answer takes [ANSWER_MS]. */
final class Store implements AutoCloseable {
    private static final long ANSWER_MS = 4;
    private static final int PAGE = 500;

    private record Item(String key, String value, long revision, long createdAt, long lease) {
        Map<String, Object> json() {
            return Json.map("key", key, "value", value, "revision", revision, "createdAt", createdAt, "lease", lease);
        }
    }

    private record Event(String key, long revision, Item item) {
        Map<String, Object> json() {
            return item != null ? item.json() : Json.map("key", key, "revision", revision, "removed", true);
        }
    }

    private record Lease(long ttlMs, long endsAt) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long nextLease = 1;
    private final Web web;
    private final List<Door> doors = new ArrayList<>();
    final String address;

    /** A further address of the store, for one caller that reaches some others at other addresses. */
    final class Door {
        final String address;

        /** Whether calls get lost. */
        volatile boolean isCut;
        private final Web web;

        /** [toCaller] and [toStore] translate the addresses in values. */
        Door(java.util.function.UnaryOperator<String> toCaller, java.util.function.UnaryOperator<String> toStore) throws Exception {
            web = new Web(Site.freePort(), call -> {
                if (isCut) return Minion.lose(() -> isCut);
                Web.Answer answer = handle(new Web.Call(call.method(), call.path(), call.query(), translate(call.body(), toStore), null));
                if (isCut) return Minion.lose(() -> isCut);
                return new Web.Answer(answer.status(), translate(answer.body(), toCaller));
            });
            address = "127.0.0.1:" + web.port;
        }

        @SuppressWarnings("unchecked")
        private <T> T translate(T json, java.util.function.UnaryOperator<String> translator) {
            if (json instanceof List<?> list) return (T) list.stream().map(entry -> translate(entry, translator)).toList();
            if (!(json instanceof Map<?, ?> map)) return json;
            Map<String, Object> translated = new java.util.LinkedHashMap<>();
            map.forEach((key, value) -> translated.put((String) key, key.equals("value") ? translateValue((String) value, translator) : translate(value, translator)));
            return (T) translated;
        }

        private static String translateValue(String value, java.util.function.UnaryOperator<String> translator) {
            String text = new String(java.util.Base64.getDecoder().decode(value), java.nio.charset.StandardCharsets.UTF_8);
            return java.util.Base64.getEncoder().encodeToString(translator.apply(text).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    Door door(java.util.function.UnaryOperator<String> toCaller, java.util.function.UnaryOperator<String> toStore) throws Exception {
        Door door = new Door(toCaller, toStore);
        doors.add(door);
        return door;
    }

    Store() throws Exception {
        web = new Web(Site.freePort(), this::handle);
        address = "127.0.0.1:" + web.port;
        Thread expiry = new Thread(this::expire, "store leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    /** Writes as the operator or a minion does. */
    synchronized long put(String key, String text) {
        revision++;
        set(key, java.util.Base64.getEncoder().encodeToString(text.getBytes(java.nio.charset.StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (!items.containsKey(key)) return;
        revision++;
        drop(key);
        notifyAll();
    }

    synchronized String read(String key) {
        Item item = items.get(key);
        return item == null ? null
            : new String(java.util.Base64.getDecoder().decode(item.value), java.nio.charset.StandardCharsets.UTF_8);
    }

    private void set(String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.createdAt, lease);
        items.put(key, item);
        history.add(new Event(key, revision, item));
    }

    private void drop(String key) {
        if (items.remove(key) != null) history.add(new Event(key, revision, null));
    }

    private void expire() {
        while (true) {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = now();
                List<Long> ended = leases.entrySet().stream().filter(e -> e.getValue().endsAt <= now).map(Map.Entry::getKey).toList();
                ended.forEach(this::endLease);
            }
        }
    }

    private void endLease(long id) {
        if (leases.remove(id) == null) return;
        List<String> keys = items.values().stream().filter(i -> i.lease == id).map(Item::key).toList();
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(this::drop);
        notifyAll();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private Web.Answer handle(Web.Call call) throws Exception {
        Web.Answer answer = execute(call);
        Thread.sleep(ANSWER_MS);
        return answer;
    }

    private Web.Answer execute(Web.Call call) throws Exception {
        String path = call.path();
        if (path.equals("/v1/kv-key")) return key(call);
        if (path.equals("/v1/kv-range")) return range(call);
        if (path.equals("/v1/kv-watch")) return watch(call);
        if (path.equals("/v1/kv-txn")) return commit(call);
        if (path.equals("/v1/kv-lease")) return grant(call);
        if (path.startsWith("/v1/kv-keep/")) return keep(Long.parseLong(path.substring("/v1/kv-keep/".length())));
        if (path.startsWith("/v1/kv-lease-end/")) {
            synchronized (this) {
                endLease(Long.parseLong(path.substring("/v1/kv-lease-end/".length())));
            }
            return new Web.Answer(200, Map.of());
        }
        return new Web.Answer(404, Map.of());
    }

    private synchronized Web.Answer key(Web.Call call) {
        Item item = items.get(call.query().get("key"));
        if (item == null) return new Web.Answer(404, Json.map("currentRev", revision));
        Map<String, Object> body = item.json();
        body.put("currentRev", revision);
        return new Web.Answer(200, body);
    }

    private synchronized Web.Answer range(Web.Call call) {
        String prefix = call.query().getOrDefault("prefix", "");
        String after = call.query().getOrDefault("after", "");
        List<Object> page = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(prefix, true).values()) {
            if (!item.key.startsWith(prefix)) break;
            if (item.key.compareTo(after) <= 0) continue;
            if (page.size() == PAGE) {
                more = true;
                break;
            }
            page.add(item.json());
        }
        return new Web.Answer(200, Json.map("items", page, "hasMore", more, "currentRev", revision));
    }

    private synchronized Web.Answer watch(Web.Call call) throws InterruptedException {
        String prefix = call.query().getOrDefault("prefix", "");
        long after = Long.parseLong(call.query().getOrDefault("after", "0"));
        long until = now() + Long.parseLong(call.query().getOrDefault("waitMs", "0"));
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).revision > after; i--) {
                Event event = history.get(i);
                if (event.key.startsWith(prefix)) events.add(0, event.json());
            }
            long left = until - now();
            if (!events.isEmpty() || left <= 0) {
                return new Web.Answer(200, Json.map("events", events, "currentRev", revision));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Web.Answer commit(Web.Call call) {
        List<Map<String, Object>> conditions = (List<Map<String, Object>>) call.body().getOrDefault("precondition", List.of());
        List<Map<String, Object>> writes = (List<Map<String, Object>>) call.body().getOrDefault("writes", List.of());
        List<String> removals = (List<String>) call.body().getOrDefault("remove", List.of());
        for (Map<String, Object> write : writes) {
            long lease = Json.number(write, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) return new Web.Answer(404, Map.of());
        }
        boolean holds = true;
        List<Object> present = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            Item item = items.get((String) condition.get("key"));
            if (item != null) present.add(item.json());
            if ((item == null ? 0 : item.revision) != Json.number(condition, "revision", 0)) holds = false;
        }
        if (!holds) return new Web.Answer(412, Json.map("items", present));
        revision++;
        for (Map<String, Object> write : writes) {
            set((String) write.get("key"), (String) write.get("value"), Json.number(write, "lease", 0));
        }
        removals.forEach(this::drop);
        notifyAll();
        return new Web.Answer(200, Json.map("revision", revision));
    }

    private synchronized Web.Answer grant(Web.Call call) {
        long ttl = Json.number(call.body(), "ttlMs", 1000);
        leases.put(nextLease, new Lease(ttl, now() + ttl));
        return new Web.Answer(200, Json.map("lease", nextLease++, "ttlMs", ttl));
    }

    private synchronized Web.Answer keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return new Web.Answer(404, Map.of());
        leases.put(id, new Lease(lease.ttlMs, now() + lease.ttlMs));
        return new Web.Answer(200, Json.map("ttlMs", lease.ttlMs));
    }

    @Override
    public void close() {
        doors.forEach(door -> door.web.close());
        web.close();
    }
}
