package io.jackdawring.testing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Runs long schedules with fixed seeds; `-Djackdawring.fuzz.schedules=N` runs more of them. */
class FuzzCampaignTest {
    /** Guards against rare combinations of faults that the shorter schedules of [EntryInstanceFuzzTest] don't reach. */
    @Test
    fun `long schedules violate no invariant`() {
        val schedules = Integer.getInteger("jackdawring.fuzz.schedules", DEFAULT_SCHEDULES)
        val first = Integer.getInteger("jackdawring.fuzz.first", 0)
        val answers = HashMap<String, Int>()
        val failures = ArrayList<String>()
        var steps = 0
        var starts = 0
        for (seed in first until first + schedules) {
            val random = Random(seed)
            val schedule = randomSteps(random, random.nextInt(MIN_STEPS, MAX_STEPS))
            val run = FuzzRun(seed.toLong())
            run.run(schedule)
            steps += schedule.size
            starts += run.cluster.startLog.total
            run.cluster.oracle.answers
                .forEach { (outcome, count) -> answers.merge(outcome, count, Int::plus) }
            run.operators.results.forEach { (result, count) -> answers.merge(result, count, Int::plus) }
            if (run.violations.isNotEmpty()) failures.add("seed $seed: ${run.violations.take(2)}")
        }
        println("$schedules schedules, $steps steps, $starts starts, ${answers.toSortedMap()}")
        assertEquals(emptyList(), failures)
    }

    private companion object {
        const val DEFAULT_SCHEDULES = 150
        const val MIN_STEPS = 40
        const val MAX_STEPS = 400
    }
}
