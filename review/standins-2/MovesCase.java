import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Jobs move to another zone after the crash of a minion; a GET or DELETE for them must not be answered 410 meanwhile.
 *
 * Three of four jobs are asked for by GET, at both entry instances of the other zone. The fourth is cancelled once, and
 * again if the answer is 503.
 */
final class MovesCase implements Minion.Watcher {
    private static final int JOBS = 160;
    private static final int ROUNDS = 10;
    private static final long VISIBLE_MS = 3_000;
    private static final long DOWN_MS = 4_500;
    private static final long ASK_MS = 200;

    /** `cancel_ms` and `stopMs`, and the time for a moved job to start. */
    private static final long CANCEL_MS = 3_000 + 50 + 1_000;

    private final Site site;
    private final AtomicInteger gone = new AtomicInteger();
    private final AtomicInteger cancelsGone = new AtomicInteger();
    private final java.util.Set<String> runningJobs = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger moved = new AtomicInteger();

    private MovesCase(Site site) {
        this.site = site;
    }

    @Override
    public void started(Minion minion, Minion.Run run) {
        if (minion.zone.equals("zone-b")) moved.incrementAndGet();
        runningJobs.add(run.job());
        site.log("start " + run.task + " attempt " + run.attempt + " on " + minion.id);
    }

    @Override
    public void ended(Minion minion, Minion.Run run, String how) {
        runningJobs.remove(run.job());
        site.log("end " + run.task + " attempt " + run.attempt + " on " + minion.id + ": " + how);
    }

    private List<String> submitAll(int round, ExecutorService threads) throws Exception {
        List<String> accepted = java.util.Collections.synchronizedList(new ArrayList<>());
        Map<String, Object> step = Json.map("count", 1, "cpu", 100, "memMb", 1, "estimateMs", 1000);
        Map<String, Object> job = Json.map("spec", "work=0 cpu=100", "longRunning", true, "steps", List.of(step));
        List<java.util.concurrent.Future<?>> all = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%08x%08x", round + 1, i);
            all.add(threads.submit(() -> {
                if (site.submit(site.instance("front-zone-a-1"), id, job, 2)) accepted.add(id);
                return null;
            }));
            Thread.sleep(5);
        }
        for (java.util.concurrent.Future<?> one : all) one.get();
        return accepted;
    }

    private void ask(String id, long until) throws InterruptedException {
        String name = "front-zone-b-1";
        while (Minion.now() < until) {
            long next = Minion.now() + ASK_MS / 2;
            String state = site.state(site.instance(name), id);
            asked.incrementAndGet();
            if (state.equals("410")) {
                gone.incrementAndGet();
                site.log("GET " + id + " at " + name + " -> 410");
                site.log("GET " + id + " at " + name + " -> " + site.state(site.instance(name), id) + " (asked again)");
            }
            name = name.equals("front-zone-b-1") ? "front-zone-b-2" : "front-zone-b-1";
            Thread.sleep(Math.max(1, next - Minion.now()));
        }
    }

    private void cancel(String id) throws InterruptedException {
        for (int i = 0; i < 10; i++) {
            String answer = site.ask("DELETE", site.instance("front-zone-b-" + (1 + i % 2)), id);
            if (!answer.equals("200 cancelled")) site.log("DELETE " + id + " -> " + answer);
            if (answer.equals("410")) {
                Thread.sleep(CANCEL_MS);
                boolean runs = runningJobs.contains(id);
                cancelsGone.incrementAndGet();
                site.log("job " + id + (runs ? " runs " : " does not run ") + CANCEL_MS + " ms after its cancelling was answered 410; GET -> "
                    + site.state(site.instance("front-zone-b-1"), id));
            }
            if (answer.startsWith("200") || answer.equals("410")) return;
            Thread.sleep(1_000);
        }
    }

    private boolean isBroken(boolean trouble) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(2 * JOBS);
        Minion minion = site.minions.get(0);
        for (int round = 0; round < ROUNDS; round++) {
            List<String> accepted = submitAll(round, threads);
            site.log(accepted.size() + " jobs are accepted");
            Thread.sleep(VISIBLE_MS + 200);
            if (trouble) {
                site.log("CRASH of " + minion.id + " for " + DOWN_MS + " ms (1 of " + site.minions.size() + " minions)");
                minion.crash();
            }
            long end = Minion.now() + DOWN_MS;
            List<java.util.concurrent.Future<?>> all = new ArrayList<>();
            for (int i = 0; i < accepted.size(); i++) {
                String id = accepted.get(i);
                boolean isCancelled = i % 4 == 0;
                all.add(threads.submit(() -> {
                    if (isCancelled) {
                        Thread.sleep((long) (2_000 + Math.random() * (DOWN_MS - 2_000)));
                        cancel(id);
                    } else {
                        Thread.sleep((long) (Math.random() * ASK_MS / 2));
                        ask(id, end + 200);
                    }
                    return null;
                }));
            }
            Thread.sleep(Math.max(1, end - Minion.now()));
            if (trouble) {
                minion.restart(minion.labels());
                site.log("RESTART of " + minion.id);
            }
            Thread.sleep(500);
        }
        Thread.sleep(CANCEL_MS);
        threads.shutdownNow();
        threads.awaitTermination(2, TimeUnit.SECONDS);
        site.log(asked + " GETs, " + moved + " starts in the other zone, " + gone + " answers 410, " + cancelsGone
            + " cancels answered 410");
        return gone.get() > 0;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            MovesCase test = new MovesCase(site);
            site.instances("zone-a", 2);
            site.instances("zone-b", 2);
            site.minions("zone-a", 1, test);
            site.minions("zone-b", 7, test);
            site.start();
            boolean broken = test.isBroken(trouble);
            site.log("a job that exists was answered 410: " + broken);
            site.close();
            System.exit(broken ? 1 : 0);
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
