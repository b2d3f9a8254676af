package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The store is down for 4.5 s while jobs of many short tasks run; minions list more than 500 ends meanwhile.
 *
 * Rule TWICE: no start after a run of the task has ended `done`, if that end is taken note of then or later.
 */
final class StoreDown implements Main.Case {
    private static final String ZONE = "tt-north-a";
    private static final Minion.Capacity CAPACITY = new Minion.Capacity(32_000, 131_072);
    private static final int JOBS = 8;
    private static final long DOWN_MILLIS = 4_400;
    private static final long LIMIT_MILLIS = 40_000;

    @Override
    public int run(Site site, boolean trouble) throws Exception {
        for (int i = 0; i < 4; i++) site.addMinion("i-" + i, ZONE, List.of("a", "r1-1"), CAPACITY);
        for (int i = 1; i <= 2; i++) site.startInstance("front-" + ZONE + "-" + i, ZONE, List.of(ZONE));
        site.awaitReady();
        Site.sleep(2_000);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = "%016x".formatted(0x2a0e7a21d94b3600L + i);
            submit(site, site.instances.get(i % 2), id);
            jobs.add(id);
        }
        if (trouble) {
            site.record.add("the store is down");
            site.store.isBusy = true;
            Site.sleep(DOWN_MILLIS);
            site.store.isBusy = false;
            site.record.add("the store is up");
        }
        awaitCompletion(site, jobs);
        return judge(site);
    }

    /** Submits a job, again after a refusal or no answer. */
    private static void submit(Site site, Site.Instance instance, String id) {
        for (int tries = 0; tries < 20; tries++) {
            if (site.submit(instance, id, new Site.Step(1_200, 1_000, 64, 100, "")).status() == 200) return;
            Site.sleep(300);
        }
        throw new IllegalStateException("job " + id + " was not accepted");
    }

    private static void awaitCompletion(Site site, List<String> jobs) {
        List<String> open = new ArrayList<>(jobs);
        long until = site.record.nowMillis() + LIMIT_MILLIS;
        while (!open.isEmpty() && site.record.nowMillis() < until) {
            Site.sleep(1_000);
            open.removeIf(id -> site.state(site.instances.get(0), id).equals("completed"));
        }
        site.record.say(jobs.size() - open.size() + " of " + jobs.size() + " jobs are shown as completed");
        Site.sleep(2_000);
    }

    /** Counts the starts after an end {@code done} that was taken note of. */
    private static int judge(Site site) {
        Map<String, Minion.Run> done = new HashMap<>();
        for (Minion.Run run : site.runs) {
            if (run.how.equals("done") && run.notedAtMillis >= 0) {
                done.merge(run.task, run, (one, other) -> one.endedAtMillis < other.endedAtMillis ? one : other);
            }
        }
        int twice = 0;
        for (Minion.Run run : site.runs) {
            Minion.Run before = done.get(run.task);
            if (before == null || run.startedAtMillis <= before.endedAtMillis) continue;
            if (twice++ < 5) {
                site.record.say(run.task + " was done on " + before.minion.id + " at " + before.endedAtMillis
                        + " ms, taken note of at " + before.notedAtMillis + " ms, and started again on "
                        + run.minion.id + " at " + run.startedAtMillis + " ms");
            }
        }
        site.record.say(done.size() + " tasks were done in " + site.runs.size() + " runs; " + twice
                + " runs started after an end done");
        return twice > 0 ? 1 : 0;
    }
}
