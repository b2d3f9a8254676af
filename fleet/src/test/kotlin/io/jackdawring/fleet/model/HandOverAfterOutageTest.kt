package io.jackdawring.fleet.model

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals

/**
 * Guards against tasks that a new holder starts again because the list of targets that it took over lacks some.
 *
 * The store turns away one failure domain until another one claims its shard; the domain's targets are listed again one
 * after the other while that shard is handed back. A task that runs twice at a time fails the test.
 */
class HandOverAfterOutageTest {
    private class Row(
        val name: String,
        val instances: Int,
        /** Times from the end of the outage until the targets are listed again; null for one that always is. */
        val listedAfterMillis: List<Long?>,
    )

    private val rows =
        listOf(1, 2, 3).flatMap { instances ->
            listOf(
                Row("no target is listed at first", instances, listOf(1_200, 1_800)),
                Row("two of four targets are listed at first", instances, listOf(0, 0, 1_000, 1_900)),
                Row("one of three targets is always listed", instances, listOf(null, 600, 1_900)),
            )
        }

    /** The store turns away the instances of the first failure domain, and its targets' entries expire. */
    private fun FakeFleet.loseStore(
        row: Row,
        outageMillis: Long,
    ) {
        val inside = instances.filter { it.domain == "a" }.map { it.id }
        inside.forEach { cut(it, listOf(FakeLinks.STORE), outageMillis) }
        targetsOf("a").zip(row.listedAfterMillis).forEach { (target, listedAfterMillis) ->
            if (listedAfterMillis == null) return@forEach
            clock.schedule(UNLISTED_AFTER_MILLIS) { unlist(target) }
            clock.schedule(outageMillis + listedAfterMillis) { list(target) }
        }
    }

    private fun play(
        row: Row,
        outageMillis: Long,
    ) {
        val fleet = FakeFleet(domains = 2, row.instances, row.listedAfterMillis.size)
        fleet.loseStore(row, outageMillis)
        fleet.run(outageMillis - 3_000)
        repeat(JOBS) { number ->
            val job = FakeFleet.job("j$number", tasks = 2)
            val id = "a${1 + number % row.instances}"
            fleet.submit(job, "a", TASK_MILLIS) { fleet.instance(id) }
            fleet.run(SUBMIT_INTERVAL_MILLIS)
        }
        fleet.run(SETTLE_MILLIS)
        fleet.checkRefusals()
    }

    /** The first failure of each row over outages of different lengths. */
    private fun failures(): List<String> =
        rows.mapNotNull { row ->
            (10_000L..13_600L step 200).firstNotNullOfOrNull { outageMillis ->
                runCatching { play(row, outageMillis) }
                    .exceptionOrNull()
                    ?.let { "${row.name}, ${row.instances} instances, out for $outageMillis ms: ${it.message}" }
            }
        }

    @Test
    fun `a task does not start again while the targets of its shard are listed one after the other`() =
        assertEquals(emptyList(), failures())

    private companion object {
        const val UNLISTED_AFTER_MILLIS = 4_500L
        const val TASK_MILLIS = 700L
        const val JOBS = 50
        const val SUBMIT_INTERVAL_MILLIS = 97L
        const val SETTLE_MILLIS = 6_000L
    }
}
