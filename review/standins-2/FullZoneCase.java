import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The last minion of a zone with room is lost; jobs that are accepted there later must run in the other zone, which is idle. */
final class FullZoneCase implements Minion.Watcher {
    private static final int LASTING = 3;
    private static final int JOBS = 30;
    private static final long GAP_MS = 400;
    private static final long FINISH_MS = 14_000;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Minion> lasting = new ConcurrentHashMap<>();
    private final Site site;

    private FullZoneCase(Site site) {
        this.site = site;
    }

    @Override
    public void started(Minion minion, Minion.Run run) {
        site.log("start " + run.task + " attempt " + run.attempt + " on " + minion.id);
        runs.merge(run.job(), 1, Integer::sum);
        if (run.workMs() == 0) lasting.put(run.task, minion);
    }

    @Override
    public void ended(Minion minion, Minion.Run run, String how) {
        site.log("end " + run.task + " attempt " + run.attempt + " on " + minion.id + ": " + how);
    }

    private static Map<String, Object> job(int count, int cpu, String spec) {
        Map<String, Object> step = Json.map("count", count, "cpu", cpu, "memMb", 64, "estimateMs", 60);
        return Json.map("spec", spec + " cpu=" + cpu, "steps", List.of(step));
    }

    private boolean isBroken(boolean trouble) throws Exception {
        Site.Instance instance = site.instance("front-zone-a-1");
        Map<String, Object> serving = job(LASTING, Site.CPU, "work=0");
        serving.put("longRunning", true);
        site.submit(instance, "5c0e7a21d94b36f7", serving, 3);
        Thread.sleep(5_000);
        if (lasting.size() < LASTING) throw new IllegalStateException("the lasting tasks have not started");
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            if (i == JOBS / 3 && trouble) {
                Minion free = site.minions.stream().filter(m -> m.zone.equals("zone-a") && !lasting.containsValue(m)).findFirst().orElseThrow();
                site.log("CRASH of " + free.id + " for good (1 of " + site.minions.size() + " minions)");
                free.crash();
            }
            String id = String.format("%016x", 0x4000 + i);
            if (site.submit(instance, id, job(1, 1_000, "work=60"), 2)) ids.add(id);
            Thread.sleep(GAP_MS);
        }
        site.log("end of the traffic");
        Thread.sleep(FINISH_MS);
        int without = 0;
        for (String id : ids) {
            String state = site.state(instance, id);
            if (state.equals("200 completed")) continue;
            without++;
            site.log("GET " + id + " -> " + state + " after " + FINISH_MS + " ms, " + runs.getOrDefault(id, 0) + " of its runs have started");
        }
        long up = site.minions.stream().filter(Minion::isUp).count();
        site.log(without + " of " + ids.size() + " jobs are not completed; " + LASTING + " of " + up + " minions are in use");
        return without > 0;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Site site = new Site(Path.of(arguments[0]))) {
            FullZoneCase test = new FullZoneCase(site);
            site.instances("zone-a", 2);
            site.instances("zone-b", 2);
            site.minions("zone-a", 4, test);
            site.minions("zone-b", 5, test);
            site.start();
            boolean broken = test.isBroken(trouble);
            site.log("accepted jobs were left without a run: " + broken);
            site.close();
            System.exit(broken ? 1 : 0);
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
