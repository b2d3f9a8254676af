package review3;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The store loses the answer of the write that accepts a job, and nothing else changes in the job's shard. */
final class LostAnswer {
    private static final int LOST_MILLIS = 4_500;
    private static final int FINISH_MILLIS = 14_000;
    private static final int IDLE_MILLIS = 3_000;

    public static void main(String[] args) {
        Site.play(args[0], List.of("north", "south"), LostAnswer::run);
    }

    private static boolean run(Site site) throws Exception {
        Instance north = site.addInstance("front-north-1", "north", 0.75);
        Instance south = site.addInstance("front-south-1", "south", 0.75);
        for (int i = 1; i <= 4; i++) {
            site.addMinion("n" + i, "north", 8_000, "kind-a", "rack-n");
            site.addMinion("s" + i, "south", 8_000, "kind-a", "rack-s");
        }
        site.startInstances();
        String first = "00000000000000a1";
        if (site.submit(north, first, "run=200", Site.step(2, 1_000, 200), false) != 200) throw new Site.CannotRun("not accepted");
        Recorder.sleep(4_000);
        if (!site.state(north, first).equals("completed")) throw new Site.CannotRun("the first job has not completed");

        AtomicInteger writes = new AtomicInteger();
        long lostUntil = Recorder.nowMillis() + LOST_MILLIS;
        // Every third write, beginning with the first: a share of 1/3, below that of the site file.
        if (site.trouble) site.store.losesAnswer = body -> Recorder.nowMillis() < lostUntil && writes.getAndIncrement() % 3 == 0;
        site.recorder.line("store", "answers of writes are lost from now on: " + site.trouble);
        String id = "00000000000000b2";
        int status = site.submit(north, id, "run=500", Site.step(2, 1_000, 500), false);
        long handedInMillis = Recorder.nowMillis();
        if (status != 200) throw new Site.CannotRun("the job was not accepted: " + status);

        Recorder.sleepUntil(handedInMillis + FINISH_MILLIS);
        long idleSince = -1;
        while (Recorder.nowMillis() < handedInMillis + FINISH_MILLIS + 2 * IDLE_MILLIS) {
            List<Minion.Run> runs = site.runsOf(id);
            boolean hasRun = runs.stream().anyMatch(run -> run.endMillis < 0 || run.how.equals("done"));
            if (hasRun) return true;
            if (idleSince < 0) idleSince = Recorder.nowMillis();
            if (Recorder.nowMillis() - idleSince >= IDLE_MILLIS) {
                site.recorder.line("case", "nothing of " + id + " has run " + (Recorder.nowMillis() - handedInMillis)
                        + " ms after it was accepted; all minions are idle: " + site.minions.values().stream().allMatch(Minion::isIdle));
                site.state(north, id);
                site.state(south, id);
                site.recorder.line("store", "record: " + site.store.read("jackdawring-jobs/places/" + id));
                site.call(north, "DELETE", id, "", 2_000);
                return false;
            }
            Recorder.sleep(100);
        }
        return true;
    }
}
