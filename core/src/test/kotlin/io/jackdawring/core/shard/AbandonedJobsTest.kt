package io.jackdawring.core.shard

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against a job that counts as abandoned from a later time, or for longer or shorter, than its caller is away. */
class AbandonedJobsTest {
    private class Row(
        val name: String,
        val atMillis: Long,
        /** Time since which nobody waits for the job; null if it does not count as abandoned. */
        val sinceMillis: Long?,
        val hasRuns: Boolean = false,
        val play: AbandonedJobs.() -> Unit,
    )

    private val rows =
        listOf(
            Row("never abandoned", 0, null) {},
            Row("abandoned", 1_000, 1_000) { add(JOB, 1_000, 1_000) },
            Row("abandoned, then reported with a later time", 1_500, 1_000) {
                add(JOB, 1_000, 1_000)
                add(JOB, 1_400, 1_400)
            },
            Row("abandoned, then reported with an earlier time", 1_500, 800) {
                add(JOB, 1_000, 1_000)
                add(JOB, 800, 800)
            },
            Row("just before its caller sends it again", 2_299, 1_000) { add(JOB, 1_000, 1_000) },
            Row("when its caller sends it again", 2_300, null) { add(JOB, 1_000, 1_000) },
            Row("its runs have ended, and its caller is back", 5_000, null) { add(JOB, 1_000, 1_000) },
            Row("learned of when its caller is back already", 5_000, 1_000) { add(JOB, 1_000, 4_900) },
            Row(
                "its runs go on when its caller sends it again",
                2_300,
                1_000,
                hasRuns = true,
            ) { add(JOB, 1_000, 1_000) },
            Row("a relay has asked for it", 1_100, null) {
                add(JOB, 1_000, 1_000)
                remove(JOB)
            },
            Row("a relay has asked for it, and then left too", 1_300, 1_200) {
                add(JOB, 1_000, 1_000)
                remove(JOB)
                add(JOB, 1_200, 1_200)
            },
            Row("an older one of another job does not expire later", 2_300, null) {
                add(JobId("other"), 1_500, 1_500)
                add(JOB, 1_000, 1_000)
            },
            Row("a newer one of another job does not expire earlier", 2_300, 1_500) {
                add(JobId("other"), 1_000, 1_000)
                add(JOB, 1_500, 1_500)
            },
        )

    @TestFactory
    fun `since when nobody waits for a job`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val jobs = AbandonedJobs(retentionMillis = 1_300).apply(row.play)
                jobs.removeExpired(row.atMillis) { ids -> if (row.hasRuns) ids.toSet() else emptySet() }
                assertEquals(row.sinceMillis, jobs.sinceMillis(JOB))
                assertEquals(row.sinceMillis != null, JOB in jobs)
                assertEquals(row.sinceMillis != null, JOB in jobs.ids)
            }
        }

    private companion object {
        val JOB = JobId("a")
    }
}
