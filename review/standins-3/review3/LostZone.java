package review3;

import java.util.List;

/** A zone is lost for good: its only instance and its two minions. */
final class LostZone {
    private static final int AFTER_LAST_RUN_MILLIS = 6_000;
    private static final int CALM_MILLIS = 4_000;
    private static final int FINISH_MILLIS = 14_000;
    private static final int IDLE_MILLIS = 3_000;
    private static final int LIMIT_MILLIS = 45_000;
    private static final String LASTING = "00000000000000d4";
    private static final String ORDINARY = "00000000000000d5";

    public static void main(String[] args) {
        Site.play(args[0], List.of("north", "south"), LostZone::run);
    }

    private static boolean run(Site site) throws Exception {
        Instance north = site.addInstance("front-north-1", "north", 0.75);
        Instance south = site.addInstance("front-south-1", "south", 0.75);
        List<Minion> lost = List.of(
                site.addMinion("n1", "north", 8_000, "kind-a", "rack-n"), site.addMinion("n2", "north", 8_000, "kind-a", "rack-n"));
        for (int i = 1; i <= 13; i++) site.addMinion("s" + i, "south", 8_000, "kind-a", "rack-s");
        site.startInstances();
        int status = site.submit(north, LASTING, "run=forever", Site.step(2, 1_000, 0), true);
        int status2 = site.submit(north, ORDINARY, "run=8000", Site.step(2, 1_000, 8_000), false);
        if (status != 200 || status2 != 200) throw new Site.CannotRun("not accepted: " + status + ", " + status2);
        Recorder.sleep(2_000);
        if (running(site, LASTING) != 2 || running(site, ORDINARY) != 2) throw new Site.CannotRun("the jobs do not run");
        long lostMillis = Recorder.nowMillis();
        if (site.trouble) {
            north.signal("KILL");
            lost.forEach(Minion::crash);
        }
        boolean lastingHeld = true;
        boolean ordinaryHeld = true;
        long lastingIdle = 0;
        long ordinaryIdle = 0;
        while (Recorder.nowMillis() < lostMillis + LIMIT_MILLIS) {
            long after = Recorder.nowMillis() - lostMillis;
            if (running(site, LASTING) == 0) lastingIdle = after;
            if (running(site, ORDINARY) == 0 && !isDone(site)) ordinaryIdle = after;
            boolean isLasting = lastingIdle == after && after >= Math.max(AFTER_LAST_RUN_MILLIS, CALM_MILLIS) + IDLE_MILLIS;
            boolean isOrdinary = ordinaryIdle == after && after >= FINISH_MILLIS + IDLE_MILLIS;
            if (isLasting && lastingHeld) site.recorder.line("case", "no task of " + LASTING + " has run for " + after + " ms; state: " + site.state(south, LASTING));
            if (isOrdinary && ordinaryHeld) site.recorder.line("case", "no task of " + ORDINARY + " has run for " + after + " ms; state: " + site.state(south, ORDINARY));
            lastingHeld &= !isLasting;
            ordinaryHeld &= !isOrdinary;
            if (site.trouble && running(site, LASTING) > 0 && (running(site, ORDINARY) > 0 || isDone(site)) && after > 1_000) break;
            if (!site.trouble && after > FINISH_MILLIS + 2 * IDLE_MILLIS) break;
            Recorder.sleep(50);
        }
        site.recorder.line("case", "without a run: " + LASTING + " for " + lastingIdle + " ms, " + ORDINARY + " for " + ordinaryIdle + " ms; the 13 minions of the other zone were idle");
        return lastingHeld && ordinaryHeld;
    }

    private static long running(Site site, String id) {
        return site.runsOf(id).stream().filter(run -> run.endMillis < 0).count();
    }

    private static boolean isDone(Site site) {
        return site.runsOf(ORDINARY).stream().filter(run -> run.how.equals("done")).count() == 2;
    }
}
