package review3;

import java.util.List;

/** The only minion with the label that a job requires answers all starts with 503 for a while, and is healthy otherwise. */
final class GreyMinion {
    private static final int GREY_MILLIS = 6_500;
    /** `visible_ms` and 2 s. */
    private static final int COUNTED_AFTER_MILLIS = 5_000;
    private static final int LIMIT_MILLIS = 25_000;

    public static void main(String[] args) {
        Site.play(args[0], List.of("north", "south"), GreyMinion::run);
    }

    private static boolean run(Site site) throws Exception {
        Instance north = site.addInstance("front-north-1", "north", 0.75);
        Instance south = site.addInstance("front-south-1", "south", 0.75);
        Minion special = site.addMinion("n1", "north", 8_000, "kind-b", "rack-n");
        for (int i = 2; i <= 6; i++) site.addMinion("n" + i, "north", 8_000, "kind-a", "rack-n");
        for (int i = 1; i <= 6; i++) site.addMinion("s" + i, "south", 8_000, "kind-a", "rack-s");
        site.startInstances();
        long greyMillis = Recorder.nowMillis();
        special.isGrey = site.trouble;
        String id = "00000000000000e5";
        var step = Site.step(2, 1_000, 300);
        step.put("requires", "kind-b");
        int status = site.submit(north, id, "run=300", step, false);
        if (status != 200) throw new Site.CannotRun("the job was not accepted: " + status);
        long acceptedMillis = Recorder.nowMillis();
        boolean held = true;
        Recorder.sleepUntil(acceptedMillis + COUNTED_AFTER_MILLIS + 200);
        while (Recorder.nowMillis() < greyMillis + GREY_MILLIS - 200) {
            boolean hasBegun = !site.runsOf(id).isEmpty();
            for (Instance each : List.of(north, south)) {
                long pending = site.pending(each);
                boolean stillNotBegun = site.runsOf(id).isEmpty();
                site.recorder.line("case", "pending is " + pending + "; the job has begun: " + hasBegun);
                if (!hasBegun && stillNotBegun && pending == 0) held = false;
            }
            Recorder.sleep(200);
        }
        site.state(north, id);
        special.isGrey = false;
        while (Recorder.nowMillis() < greyMillis + LIMIT_MILLIS) {
            if (site.state(north, id).equals("completed")) break;
            Recorder.sleep(1_000);
        }
        return held;
    }
}
