import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/**
 * Two of ten minions and the entry instance that holds their shard are partitioned together from the rest for 5 s; no task
 * of a stored job may have two runs at the same time.
 *
 * The holder reaches the store, the other instances and the minions at addresses of its own, and the other instances reach
 * the holder through a proxy, so that each path can be cut. Addresses in what passes are translated.
 */
final class IslandCase implements Minion.Watcher {
    private static final long CUT_MS = 5_000;
    private static final int INSTANCES = 4;
    private static final int MINIONS = 10;
    private static final int CUT_MINIONS = 2;
    private static final String JOB = "5c0e7a21d94b36f9";

    private final Map<String, List<Minion.Run>> running = new HashMap<>();
    private final AtomicInteger twice = new AtomicInteger();
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, String> outsideOfInside = new HashMap<>();
    private final Map<String, String> insideOfOutside = new HashMap<>();
    private final Site site;
    private volatile boolean isCut;

    private IslandCase(Site site) {
        this.site = site;
    }

    @Override
    public synchronized void started(Minion minion, Minion.Run run) {
        List<Minion.Run> others = running.computeIfAbsent(run.task, key -> new ArrayList<>());
        site.log("start " + run.task + " attempt " + run.attempt + " on " + minion.id + (others.isEmpty() ? "" : " TWICE"));
        if (!others.isEmpty()) twice.incrementAndGet();
        others.add(run);
    }

    @Override
    public synchronized void ended(Minion minion, Minion.Run run, String how) {
        running.getOrDefault(run.task, new ArrayList<>()).remove(run);
        site.log("end " + run.task + " attempt " + run.attempt + " on " + minion.id + ": " + how);
    }

    /** A proxy to [port]; requests and answers get lost during the cut. */
    private Web proxy(int port, UnaryOperator<String> toServer, UnaryOperator<String> toCaller) throws Exception {
        return new Web(Site.freePort(), call -> {
            if (isCut) return Minion.lose(() -> isCut);
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + call.path()))
                .timeout(Duration.ofSeconds(20))
                .header("Content-Type", "application/json")
                .method(call.method(), HttpRequest.BodyPublishers.ofString(toServer.apply(Json.write(call.body()))))
                .build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (isCut) return Minion.lose(() -> isCut);
            String body = toCaller.apply(response.body());
            return new Web.Answer(response.statusCode(), body.startsWith("{") ? Json.parse(body) : Map.of());
        });
    }

    private static String translate(String text, Map<String, String> addresses) {
        return java.util.regex.Pattern.compile("127\\.0\\.0\\.1:\\d+").matcher(text)
            .replaceAll(found -> addresses.getOrDefault(found.group(), found.group()));
    }

    private void addAddress(String inside, String outside) {
        outsideOfInside.put(inside, outside);
        insideOfOutside.put(outside, inside);
    }

    private Store.Door prepare() throws Exception {
        UnaryOperator<String> toInside = text -> translate(text, insideOfOutside);
        UnaryOperator<String> toOutside = text -> translate(text, outsideOfInside);
        Site.Instance holder = site.instances.get(0);
        addAddress("127.0.0.1:" + holder.control, "127.0.0.1:" + proxy(holder.control, toInside, toOutside).port);
        for (Site.Instance other : site.instances.subList(1, INSTANCES)) {
            addAddress("127.0.0.1:" + proxy(other.control, toOutside, toInside).port, "127.0.0.1:" + other.control);
        }
        for (Minion minion : site.minions) addAddress(minion.insideAddress(), minion.address());
        Store.Door door = site.store.door(toInside, toOutside);
        holder.storeAddress = door.address;
        return door;
    }

    private void cut(Store.Door door, boolean cut) {
        isCut = cut;
        door.isCut = cut;
        for (int i = 0; i < site.minions.size(); i++) {
            // The minions behind the cut reach the holder alone; the others reach all but the holder.
            if (i < CUT_MINIONS) site.minions.get(i).isCutOutside = cut;
            else site.minions.get(i).isCutInside = cut;
        }
    }

    private boolean isBroken(boolean trouble) throws Exception {
        Store.Door door = prepare();
        site.start();
        Site.Instance other = site.instances.get(1);
        Map<String, Object> step = Json.map("count", MINIONS, "cpu", 12_000, "memMb", 64, "estimateMs", 15_000);
        Map<String, Object> job = Json.map("spec", "work=15000 cpu=12000", "steps", List.of(step));
        if (!site.submit(other, JOB, job, 3)) throw new IllegalStateException("the job was not accepted");
        Thread.sleep(4_000);
        String held = site.store.read("jackdawring/shards/zone-a/0");
        if (held == null || !held.contains("\"front-zone-a-1\"")) throw new IllegalStateException("another instance holds the shard");
        if (trouble) {
            site.log("CUT of front-zone-a-1 (1 of " + INSTANCES + " entry instances) and " + CUT_MINIONS + " of " + MINIONS + " minions from the rest for " + CUT_MS + " ms");
            cut(door, true);
        }
        Thread.sleep(CUT_MS);
        if (trouble) site.log("end of the cut");
        cut(door, false);
        Thread.sleep(25_000);
        site.log("GET " + JOB + " -> " + site.state(other, JOB));
        return twice.get() > 0;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            IslandCase test = new IslandCase(site);
            site.instances("zone-a", INSTANCES);
            site.minions("zone-a", MINIONS, test);
            boolean broken = test.isBroken(trouble);
            site.log("starts beside another run of the same task: " + test.twice);
            site.close();
            System.exit(broken ? 1 : 0);
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
