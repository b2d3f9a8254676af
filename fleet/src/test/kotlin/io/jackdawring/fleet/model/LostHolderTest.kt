package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.TaskKey
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against a successor that starts a durable task too early, while a holder that is cut off runs it, and too late,
 * after a holder that cannot come back.
 */
class LostHolderTest {
    private class Row(
        val name: String,
        /** Number of instances in each failure domain. */
        val instances: Int,
        /** Whether no run may end, because the instances reach each other. */
        val isUndisturbed: Boolean = false,
        /** Whether a long-running task has to run again in time; no bound holds during a long outage of the store. */
        val isInTime: Boolean = true,
        val disturb: FakeFleet.() -> Unit,
    )

    private fun FakeFleet.inside() = (instances.map { it.id } + targets.keys).filter { it.startsWith("a") }

    private fun FakeFleet.outside() = (instances.map { it.id } + targets.keys).filterNot { it.startsWith("a") }

    /** Cuts the first failure domain off from [others]; without the store, the entries of its targets expire. */
    private fun FakeFleet.cutOff(
        others: List<String>,
        millis: Long,
    ) {
        inside().forEach { cut(it, others, millis) }
        if (FakeLinks.STORE in others && millis > UNLISTED_AFTER_MILLIS) {
            for (target in targetsOf("a")) {
                clock.schedule(UNLISTED_AFTER_MILLIS) { unlist(target) }
                clock.schedule(millis + RELISTED_AFTER_MILLIS) { list(target) }
            }
        }
    }

    /** Stops the instance [id] gracefully; it does not start again. */
    private fun FakeFleet.stopForGood(id: String) {
        instance(id).drain()
        clock.schedule(STOP_MILLIS) { kill(id) }
    }

    private fun FakeFleet.killAll() = instances.filter { it.domain == "a" }.forEach { kill(it.id) }

    private val losses =
        (1..3).flatMap { instances ->
            listOf(
                Row("the domain is killed", instances) {
                    killAll()
                    targetsOf("a").forEach(::crashForGood)
                },
                Row("the domain falls silent", instances) {
                    targetsOf("a").forEach(::crashForGood)
                    cutOff(outside() + FakeLinks.STORE, FOREVER_MILLIS)
                    this.instances.filter { it.domain == "a" }.forEach { freeze(it.id, FOREVER_MILLIS) }
                },
                Row("the instances are killed, the targets are sound", instances) { killAll() },
                Row("the instances stop gracefully one after the other, the targets are sound", instances) {
                    val ids = this.instances.filter { it.domain == "a" }.map { it.id }
                    ids.forEachIndexed { index, id -> clock.schedule(index * 2 * STOP_MILLIS) { stopForGood(id) } }
                },
                Row("the holder falls silent, the targets are sound", instances) {
                    checkNotNull(holder("a")).let { freeze(it.id, FOREVER_MILLIS) }
                },
            )
        }

    private val cuts =
        (1..3).flatMap { instances ->
            listOf(3_000L, 5_500, 9_000, 12_000, 31_000).flatMap { millis ->
                val isShort = millis < OUTAGE_MILLIS
                listOf(
                    Row("cut off from the store for $millis ms", instances, isShort, isShort) {
                        cutOff(listOf(FakeLinks.STORE), millis)
                    },
                    Row("cut off from the other domains for $millis ms", instances, isUndisturbed = true) {
                        cutOff(outside(), millis)
                    },
                    Row("cut off from all for $millis ms", instances) {
                        cutOff(outside() + FakeLinks.STORE, millis)
                    },
                    Row("the holder is cut off from all instances and the store for $millis ms", instances) {
                        val holder = checkNotNull(holder("a")).id
                        cut(holder, this.instances.map { it.id } + FakeLinks.STORE, millis)
                    },
                    Row("the holder and a target are split off for $millis ms", instances) {
                        val holder = checkNotNull(holder("a")).id
                        val split = listOf(holder, targetsOf("a").first())
                        val rest = this.instances.map { it.id } + targets.keys + FakeLinks.STORE - split
                        split.forEach { cut(it, rest, millis) }
                        clock.schedule(UNLISTED_AFTER_MILLIS) { unlist(split.last()) }
                        clock.schedule(millis + UNLISTED_AFTER_MILLIS) { list(split.last()) }
                    },
                    Row("the store is down for $millis ms", instances, isShort, isShort) {
                        stopStore(millis)
                    },
                )
            }
        }

    private val freezes =
        (1..3).flatMap { instances ->
            listOf(400L, 1_000, 2_300, 2_600, 3_100, 4_500, 8_000, 14_900, 18_000).flatMap { millis ->
                listOf(true, false).flatMap { clockCounts ->
                    listOf(true, false).map { messagesFirst ->
                        val how = "clock counts: $clockCounts, messages first: $messagesFirst"
                        Row("the holder freezes for $millis ms, $how", instances) {
                            val holder = checkNotNull(holder("a")).id
                            freeze(holder, millis, clockCounts, messagesFirst)
                            cut(holder, listOf(FakeLinks.STORE), millis + 1_000)
                        }
                    }
                }
            }
        }

    /** Longest time without a run for each task; the fleet itself fails if a task has two runs at a time. */
    private fun FakeFleet.longestGaps(millis: Long): Map<TaskKey, Long> {
        val gaps = HashMap<TaskKey, Long>()
        val longest = HashMap<TaskKey, Long>()
        val tasks = List(TASKS) { TaskKey(ID, 0, 0, it) }
        repeat((millis / STEP_MILLIS).toInt()) {
            run(STEP_MILLIS)
            val running = runs.runningTasksOf(ID)
            for (task in tasks) {
                gaps[task] = if (task in running) 0 else (gaps[task] ?: 0) + STEP_MILLIS
                longest[task] = maxOf(longest[task] ?: 0, gaps.getValue(task))
            }
        }
        return longest
    }

    private fun play(row: Row) {
        val fleet = FakeFleet(domains = 3, row.instances, targetsPerDomain = 3)
        val job = FakeFleet.job(ID.value, TASKS, cpuMillis = 8_000, isLongRunning = true)
        fleet.submitDurable(job, "a1", ENDLESS_MILLIS)
        fleet.run(6_000)
        assertEquals(TASKS, fleet.runs.runningTasksOf(ID).size, "tasks run before the loss")
        row.disturb(fleet)
        val gaps = fleet.longestGaps(PLAY_MILLIS)
        val description = { "gaps $gaps\n${fleet.trace.describe(ID)}" }
        if (row.isInTime) assertTrue(gaps.values.all { it <= MAX_GAP_MILLIS }, description())
        assertEquals(TASKS, fleet.runs.runningTasksOf(ID).size, description())
        if (row.isUndisturbed) assertEquals(TASKS, fleet.runs.countOf(ID), description())
    }

    private fun tests(rows: List<Row>) =
        rows.map { row -> DynamicTest.dynamicTest("${row.name}, ${row.instances} instances") { play(row) } }

    @TestFactory
    fun `tasks of a holder that cannot come back run again in time`() = tests(losses)

    @TestFactory
    fun `tasks of a holder that is cut off run once at a time`() = tests(cuts)

    @TestFactory
    fun `tasks of a holder that freezes run once at a time`() = tests(freezes)

    private companion object {
        val ID = JobId("lasting")
        const val TASKS = 3
        const val STEP_MILLIS = 10L
        const val PLAY_MILLIS = 60_000L

        /** A long-running task counts as lost if it has no run for 3 s, from 6 s after its last one on. */
        const val MAX_GAP_MILLIS = 9_000L

        /** Outage of the store up to which nothing stops. */
        const val OUTAGE_MILLIS = 15_000L
        const val UNLISTED_AFTER_MILLIS = 4_500L
        const val RELISTED_AFTER_MILLIS = 1_500L
        const val STOP_MILLIS = 3_000L
        const val FOREVER_MILLIS = 1_000_000L
        const val ENDLESS_MILLIS = 10_000_000L
    }
}
