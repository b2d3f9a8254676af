package review3;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * The holder of a zone is cut off from the store and all machines, while the entry of one of its minions has expired.
 *
 * Whether two runs overlap depends on the phases of polls, so several deployments are played beside each other.
 */
final class CutOffHolder {
    private static final int DEPLOYMENTS = 5;
    private static final int STORE_CUT_MILLIS = 5_000;
    private static final int MACHINE_CUT_MILLIS = 5_500;
    private static final int AFTER_POLL_MILLIS = 110;
    private static final int HEARTBEAT_MILLIS = 1_500;
    private static final String JOB = "00000000000000ab";

    public static void main(String[] args) {
        Site.play(args[0], List.of("north", "south"), CutOffHolder::runAll);
    }

    private static boolean runAll(Site first) throws Exception {
        List<Site> sites = new ArrayList<>(List.of(first));
        while (sites.size() < DEPLOYMENTS) sites.add(first.sibling());
        ExecutorService threads = Executors.newFixedThreadPool(DEPLOYMENTS);
        List<Future<Boolean>> results = new ArrayList<>();
        for (int i = 0; i < DEPLOYMENTS; i++) {
            Site site = sites.get(i);
            String prefix = (char) ('a' + i) + ".";
            results.add(threads.submit((Callable<Boolean>) () -> run(site, prefix)));
        }
        int broken = 0;
        for (Future<Boolean> result : results) {
            if (!result.get()) broken++;
        }
        first.recorder.line("case", broken + " of " + DEPLOYMENTS + " deployments had two runs at once");
        return broken == 0;
    }

    private static boolean run(Site site, String prefix) throws Exception {
        Instance holder = site.addInstance(prefix + "north-1", "north", 0.75);
        Instance successor = site.addInstance(prefix + "north-2", "north", 0.5);
        Instance south = site.addInstance(prefix + "south-1", "south", 0.75);
        for (int i = 1; i <= 2; i++) site.addMinion(prefix + "n" + i, "north", 8_000, "kind-a", "rack-n");
        for (int i = 1; i <= 8; i++) site.addMinion(prefix + "s" + i, "south", 8_000, "kind-a", "rack-s");
        List<Link> links = new ArrayList<>();
        for (Instance other : List.of(successor, south)) {
            Link to = new Link(other.controlPort);
            Link from = new Link(holder.controlPort);
            holder.store.paths.put("127.0.0.1:" + other.controlPort, "127.0.0.1:" + to.port);
            other.store.paths.put("127.0.0.1:" + holder.controlPort, "127.0.0.1:" + from.port);
            links.add(to);
            links.add(from);
        }
        // The holder first, so that the others learn its address from the store.
        holder.start();
        site.awaitReady(List.of(holder));
        successor.start();
        south.start();
        site.awaitReady(List.of(successor, south));
        Recorder.sleep(2_000);

        int status = site.submit(holder, JOB, "run=25000", Site.step(1, 1_000, 25_000), false);
        Recorder.sleep(500);
        if (status != 200 || site.runsOf(JOB).isEmpty()) throw new Site.CannotRun("the job does not run: " + status);
        Minion minion = site.minions.get(site.runsOf(JOB).get(0).minion);
        if (site.trouble) {
            long beat = minion.beatMillis;
            while (minion.beatMillis == beat) Recorder.sleep(5);
            Recorder.sleepUntil(minion.beatMillis + HEARTBEAT_MILLIS - 100);
            minion.cutFromStore();
            long storeCutMillis = Recorder.nowMillis();
            Recorder.sleepUntil(minion.beatMillis + 3 * HEARTBEAT_MILLIS + 20);
            // The other minion rejects the holder at its first poll after the take-over, about 0.4 s from here.
            Minion other = site.minions.get(prefix + (minion.id.endsWith("n1") ? "n2" : "n1"));
            long polled = other.polledMillis;
            while (other.polledMillis == polled) Recorder.sleep(1);
            Recorder.sleep(AFTER_POLL_MILLIS);
            site.recorder.line(holder.name, "is cut off from the store and all machines of the system");
            holder.store.isCut = true;
            links.forEach(link -> link.isCut = true);
            long machineCutMillis = Recorder.nowMillis();
            Recorder.sleepUntil(storeCutMillis + STORE_CUT_MILLIS);
            minion.isCutFromStore = false;
            Recorder.sleepUntil(machineCutMillis + MACHINE_CUT_MILLIS);
            holder.store.isCut = false;
            links.forEach(link -> link.isCut = false);
            site.recorder.line(holder.name, "is no longer cut off");
        }
        Recorder.sleep(5_000);
        return !hasOverlap(site);
    }

    private static boolean hasOverlap(Site site) {
        List<Minion.Run> runs = site.runsOf(JOB);
        boolean found = false;
        for (Minion.Run a : runs) {
            long endMillis = a.endMillis < 0 ? Recorder.nowMillis() : a.endMillis;
            for (Minion.Run b : runs) {
                if (a == b || !a.task.equals(b.task) || b.startMillis < a.startMillis || b.startMillis >= endMillis) continue;
                found = true;
                site.recorder.line("case", "two runs of " + a.task + " at the same time for " + (endMillis - b.startMillis)
                        + " ms: attempt " + a.attempt + " on " + a.minion + " " + a.startMillis + " to " + endMillis + ", attempt "
                        + b.attempt + " on " + b.minion + " from " + b.startMillis);
            }
        }
        return found;
    }
}
