import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** One minion is lost for good; the lasting task that ran there must run again soon, as other zones have idle minions. */
final class LastingCase implements Minion.Watcher {
    /** The rule counts from 6 s after the last run of the task, for 3 s. */
    private static final long LIMIT_MS = 6_000 + 3_000;
    private static final String JOB = "5c0e7a21d94b36f3";
    private static final int TASKS = 4;

    private final Map<String, Minion> running = new ConcurrentHashMap<>();
    private final Map<String, Long> endedAt = new ConcurrentHashMap<>();
    private final Site site;

    private LastingCase(Site site) {
        this.site = site;
    }

    @Override
    public void started(Minion minion, Minion.Run run) {
        site.log("start " + run.task + " attempt " + run.attempt + " on " + minion.id);
        running.put(run.task, minion);
        endedAt.remove(run.task);
    }

    @Override
    public void ended(Minion minion, Minion.Run run, String how) {
        site.log("end " + run.task + " attempt " + run.attempt + " on " + minion.id + ": " + how);
        running.remove(run.task);
        endedAt.put(run.task, Minion.now());
    }

    private boolean isBroken(boolean trouble) throws Exception {
        Site.Instance instance = site.instance("front-zone-a-1");
        Map<String, Object> step = Json.map("count", TASKS, "cpu", Site.CPU, "memMb", 64, "estimateMs", 1000);
        Map<String, Object> job = Json.map("spec", "work=0 cpu=" + Site.CPU, "longRunning", true, "steps", List.of(step));
        if (!site.submit(instance, JOB, job, 3)) throw new IllegalStateException("the job was not accepted");
        long until = Minion.now() + 10_000;
        while (running.size() < TASKS) {
            if (Minion.now() > until) throw new IllegalStateException("not all tasks have started");
            Thread.sleep(50);
        }
        Thread.sleep(8_000);
        if (trouble) {
            Minion lost = running.values().iterator().next();
            site.log("CRASH of " + lost.id + " for good (1 of " + site.minions.size() + " minions)");
            lost.crash();
        }
        boolean broken = false;
        for (int i = 0; i < 50; i++) {
            Thread.sleep(500);
            long idle = site.minions.stream().filter(m -> m.isUp() && !running.containsValue(m)).count();
            for (Map.Entry<String, Long> entry : endedAt.entrySet()) {
                long waited = Minion.now() - entry.getValue();
                if (waited < LIMIT_MS || broken) continue;
                broken = true;
                site.log(entry.getKey() + " has not run for " + waited + " ms; " + idle + " of the minions that are up are idle");
            }
        }
        site.log("GET " + JOB + " -> " + site.state(instance, JOB) + ", " + running.size() + " of " + TASKS + " tasks run");
        return broken;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            LastingCase test = new LastingCase(site);
            site.instances("zone-a", 2);
            site.instances("zone-b", 2);
            site.minions("zone-a", 4, test);
            site.minions("zone-b", 4, test);
            site.start();
            boolean broken = test.isBroken(trouble);
            site.log("a lasting task was left without a run: " + broken);
            site.close();
            System.exit(broken ? 1 : 0);
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
