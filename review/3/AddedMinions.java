package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Empty minions are added; afterwards, accepted jobs that need a label of the other minions never start.
 *
 * Rule LOST: 14 s (`finish_s`) after the end of the traffic, no job may have nothing running for 3 s while there is
 * room for it.
 */
final class AddedMinions implements Main.Case {
    private static final String ZONE = "tt-north-a";
    private static final Minion.Capacity LARGE = new Minion.Capacity(48_000, 131_072);
    private static final Minion.Capacity SMALL = new Minion.Capacity(32_000, 131_072);

    @Override
    public int run(Site site, boolean trouble) throws Exception {
        for (int i = 0; i < 60; i++) site.addMinion("i-a" + i, ZONE, List.of("a", "r1-" + i / 12), LARGE);
        for (int i = 0; i < 6; i++) site.addMinion("i-b" + i, ZONE, List.of("b", "r1-9"), SMALL);
        for (int i = 1; i <= 2; i++) site.startInstance("front-" + ZONE + "-" + i, ZONE, List.of(ZONE));
        site.awaitReady();
        Site.sleep(2_000);
        if (trouble) {
            // 18 of 66: a share of 0.273, over 2.3 s.
            for (int i = 0; i < 18; i++) {
                site.addMinion("i-n" + i, ZONE, List.of("a", "r1-" + (5 + i / 12)), LARGE);
                Site.sleep(128);
            }
            Site.sleep(4_000);
        }
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String id = "%016x".formatted(0x6d0e7a21d94b3600L + i);
            // Every second job may run on any minion.
            Site.Step step = new Site.Step(4, 14_000, 64, 900, i % 2 == 0 ? "b" : "");
            Http.Answer answer = site.submit(site.instances.get(i % 2), id, step);
            if (answer.status() != 200) throw new IllegalStateException("job " + id + " was answered " + answer);
            jobs.add(id);
        }
        return site.judgeStalled(jobs, site.record.nowMillis());
    }
}
