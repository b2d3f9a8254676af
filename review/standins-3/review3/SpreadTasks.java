package review3;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** A minion is lost for good; its task may not run beside the others of its step, but there is room in another zone. */
final class SpreadTasks {
    private static final int TASKS = 6;
    private static final int AFTER_LAST_RUN_MILLIS = 6_000;
    private static final int CALM_MILLIS = 4_000;
    private static final int IDLE_MILLIS = 3_000;
    private static final int OBSERVED_MILLIS = 40_000;

    public static void main(String[] args) {
        Site.play(args[0], List.of("north", "south"), SpreadTasks::run);
    }

    private static boolean run(Site site) throws Exception {
        Instance north = site.addInstance("front-north-1", "north", 0.75);
        site.addInstance("front-south-1", "south", 0.75);
        for (int i = 1; i <= TASKS; i++) site.addMinion("n" + i, "north", 8_000, "kind-a", "rack-n");
        for (int i = 1; i <= 8; i++) site.addMinion("s" + i, "south", 8_000, "kind-a", "rack-s");
        site.startInstances();
        String id = "00000000000000a7";
        Map<String, Object> step = Site.step(TASKS, 1_000, 0);
        step.put("antiAffinity", 1);
        int status = site.submit(north, id, "run=forever", step, true);
        if (status != 200) throw new Site.CannotRun("the job was not accepted: " + status);
        Recorder.sleep(4_000);
        if (running(site, id).size() != TASKS) throw new Site.CannotRun("only " + running(site, id).keySet() + " run");
        Minion lost = site.minions.get(running(site, id).values().iterator().next());
        long lostMillis = Recorder.nowMillis();
        if (site.trouble) lost.crash();
        boolean held = true;
        long idleSince = -1;
        while (Recorder.nowMillis() < lostMillis + OBSERVED_MILLIS) {
            long now = Recorder.nowMillis();
            boolean mayCount = now >= lostMillis + Math.max(AFTER_LAST_RUN_MILLIS, CALM_MILLIS);
            if (!mayCount || running(site, id).size() == TASKS) idleSince = -1;
            else if (idleSince < 0) idleSince = now;
            if (idleSince >= 0 && now - idleSince >= IDLE_MILLIS && held) {
                held = false;
                site.recorder.line("case", "a task has not run for " + (now - lostMillis) + " ms; running: " + running(site, id));
                site.recorder.line("case", "sound minions without a run: " + idle(site, lost));
            }
            Recorder.sleep(50);
        }
        site.state(north, id);
        site.recorder.line("case", "at the end: " + running(site, id).size() + " of " + TASKS + " tasks run");
        return held;
    }

    /** The running tasks and their minions. */
    private static Map<String, String> running(Site site, String id) {
        return site.runsOf(id).stream().filter(run -> run.endMillis < 0).collect(Collectors.toMap(run -> run.task, run -> run.minion, (a, b) -> a));
    }

    private static List<String> idle(Site site, Minion lost) {
        return site.minions.values().stream().filter(minion -> minion != lost && minion.isIdle()).map(minion -> minion.id).toList();
    }
}
