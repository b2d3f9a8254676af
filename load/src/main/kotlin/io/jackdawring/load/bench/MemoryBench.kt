package io.jackdawring.load.bench

import io.jackdawring.core.Event
import io.jackdawring.core.Payload
import io.jackdawring.core.TaskSpec
import io.jackdawring.core.membership.MemberFact
import io.jackdawring.core.membership.PeerMessage

/** Heap per item of the state of one entry instance: slope over three sizes, each measured after full collections. */
internal class MemoryBench(
    private val options: BenchOptions,
    private val table: BenchTable,
) {
    private val collections = if (options.small) 1 else FULL_COLLECTIONS

    fun run() {
        slope("session", 5_000, 10_000, 20_000) { count ->
            instance().also { i ->
                repeat(count) { i.openSession("caller-$it") }
            }
        }
        slope("record, answer kept", 20_000, 50_000, 100_000) { finished(it) }
        slope("record, answer discarded", 20_000, 50_000, 100_000) { count ->
            finished(count).also {
                it.nowMillis += RETENTION_MILLIS + 1
                it.runTimers()
            }
        }
        slope("queued task, jobs of 1", 10_000, 20_000, 40_000) { queued(it, 1) }
        slope("queued task, jobs of 100", 10_000, 20_000, 40_000) { queued(it, 100) }
        slope("target, 8 services", 240, 470, 940) { instance(targets = it, teams = 160) }
        slope("member", 9, 18, 30) { members(it) }
        slope("team", 10, 40, 160) { instance(teams = it) }
    }

    private fun slope(
        name: String,
        vararg sizes: Int,
        build: (Int) -> Any,
    ) {
        val scaled = if (options.small) sizes.map { maxOf(1, it / SMALL_DIVISOR) } else sizes.toList()
        build(scaled.first())
        val points =
            scaled.map { size ->
                size.toDouble() to heapBytes(size, build)
            }
        val meanSize = points.map { it.first }.average()
        val meanBytes = points.map { it.second }.average()
        val slope =
            points.sumOf { (size, bytes) -> (size - meanSize) * (bytes - meanBytes) } /
                maxOf(1.0, points.sumOf { (size, _) -> (size - meanSize) * (size - meanSize) })
        table.add(
            "item" to name,
            "sizes" to scaled.joinToString("/"),
            "KB in use" to points.joinToString("/") { (it.second / KB).toLong().toString() },
            "B/item" to slope.toLong(),
        )
    }

    /** A separate function, so that no stack frame references the previous state when the heap is measured. */
    private fun heapBytes(
        size: Int,
        build: (Int) -> Any,
    ): Double {
        val copies = maxOf(1, MIN_ITEMS / size)
        val before = usedHeapBytes(collections)
        val state = List(copies) { build(size) }
        val after = usedHeapBytes(collections)
        check(state.size == copies) // Keeps the state reachable until the second reading.
        return (after - before).toDouble() / copies
    }

    private fun instance(
        targets: Int = 1,
        teams: Int = 1,
    ) = ScriptedInstance(ScriptedStore(teams)) {
        maxSubmissionsPerSession = Int.MAX_VALUE
        answerRetentionMillis = RETENTION_MILLIS
    }.also {
        it.handle(Event.InstancesListed(ScriptedInstance.instanceList(targets, teams)))
        it.runTimers()
        it.openSession()
    }

    private fun finished(count: Int): ScriptedInstance {
        val instance = instance()
        repeat(count) {
            instance.submit(ScriptedStore.service(0), listOf(task()))
            instance.answerOldest(Payload(ScriptedInstance.RESULT.bytes.copyOf()))
        }
        check(instance.notComplete == 0L) { "jobs did not complete: ${instance.lastProblem}" }
        return instance
    }

    private fun queued(
        count: Int,
        tasksPerJob: Int,
    ): ScriptedInstance {
        val instance = instance()
        repeat(count / tasksPerJob) { instance.submit(ScriptedStore.service(0), List(tasksPerJob) { task() }) }
        check(instance.notComplete == 0L) { "jobs were not queued: ${instance.lastProblem}" }
        return instance
    }

    private fun members(count: Int): ScriptedInstance {
        val instance = instance()
        instance.handle(Event.InstancesListed(ScriptedInstance.instanceList(1, 1, entries = count).copy(version = 2)))
        for (index in 1 until count) {
            val owner = ScriptedInstance.owner(index)
            instance.handle(
                Event.PeerMessageReceived(PeerMessage.DigestReply(owner, listOf(MemberFact(owner, 1, 1)), emptyList())),
            )
        }
        return instance
    }

    /** A task with its own payload and the shortest run time, so that many can be queued within the deadline. */
    private fun task() = TaskSpec(Payload(ScriptedInstance.RESULT.bytes.copyOf()), expectedMillis = 1)

    private companion object {
        const val RETENTION_MILLIS = 120_000L
        const val SMALL_DIVISOR = 10

        /** Small states are built several times, so that the difference exceeds the noise of the measurement. */
        const val MIN_ITEMS = 1_000
        const val KB = 1_000.0

        /** The serial collector removes all dead objects only in every fourth full collection. */
        const val FULL_COLLECTIONS = 4
    }
}
