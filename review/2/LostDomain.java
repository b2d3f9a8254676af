package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Durable jobs are accepted in a zone whose minions are then lost for good.
 *
 * The minions of the other zones are idle. Rule LOST: 14 s (`finish_s`) after the end of the traffic, no job may have
 * nothing running for 3 s while there is room for it.
 */
final class LostDomain implements Main.Case {
    private static final List<String> ZONES = List.of("tt-north-a", "tt-north-b", "tt-north-c");
    private static final Minion.Capacity CAPACITY = new Minion.Capacity(32_000, 131_072);

    @Override
    public int run(Site site, boolean trouble) throws Exception {
        // 2 of 15 minions are in the first zone: a share of 0.133.
        for (int i = 0; i < 2; i++) site.addMinion("i-a" + i, ZONES.get(0), List.of("a", "r1-1"), CAPACITY);
        for (int i = 0; i < 6; i++) site.addMinion("i-b" + i, ZONES.get(1), List.of("a", "r2-1"), CAPACITY);
        for (int i = 0; i < 7; i++) site.addMinion("i-c" + i, ZONES.get(2), List.of("a", "r3-1"), CAPACITY);
        for (String zone : ZONES) site.startInstance("front-" + zone + "-1", zone, ZONES);
        site.awaitReady();
        Site.sleep(3_000);

        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            String id = "%016x".formatted(0x5c0e7a21d94b3600L + i);
            Http.Answer answer =
                    site.submit(site.instances.get(0), id, new Site.Step(2, 14_000, 64, 2_000, ""));
            if (answer.status() != 200) throw new IllegalStateException("job " + id + " was answered " + answer);
            jobs.add(id);
        }
        long endMillis = site.record.nowMillis();
        Site.sleep(1_000);
        if (trouble) {
            for (Minion minion : site.minions) if (minion.zone.equals(ZONES.get(0))) minion.crash();
        }
        return site.judgeStalled(jobs, endMillis);
    }
}
