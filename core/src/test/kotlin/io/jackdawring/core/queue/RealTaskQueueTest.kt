package io.jackdawring.core.queue

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class FakeJob(
    override val sequence: Long,
    override val team: String = "a",
    override val priority: Int = 1,
    override var pendingTasks: Int = 1,
    override val weight: Int = 1,
    override val service: String = "orders",
    override val expectedMillisPerTask: Long = 100,
) : QueuedJob

class RealTaskQueueTest {
    private fun queueOf(vararg jobs: FakeJob): RealTaskQueue = RealTaskQueue().apply { jobs.forEach(::put) }

    /** Places up to [freeSlots] tasks and returns the jobs in order of placement. */
    private fun TaskQueue.place(freeSlots: Int): List<Long> {
        val placed = mutableListOf<Long>()
        dispatch { job ->
            val hasFreeSlot = placed.size < freeSlots
            if (hasFreeSlot) {
                (job as FakeJob).pendingTasks--
                placed += job.sequence
            }
            hasFreeSlot
        }
        return placed
    }

    /** Guards against a wrong order of classes, teams and jobs. */
    @Test
    fun `tasks are offered in order of class, team and job`() {
        data class Case(
            val name: String,
            val jobs: List<FakeJob>,
            val order: List<Long>,
        )
        val cases =
            listOf(
                Case(
                    "a higher class goes first although it came later",
                    listOf(FakeJob(1, priority = 2, pendingTasks = 2), FakeJob(2, priority = 1)),
                    listOf(2, 1, 1),
                ),
                Case(
                    "teams get work in proportion to their weights",
                    listOf(FakeJob(1, "a", pendingTasks = 3), FakeJob(2, "b", pendingTasks = 4, weight = 2)),
                    listOf(1, 2, 2, 1, 2, 2, 1),
                ),
                Case(
                    "the job with the fewest unstarted tasks of a team goes first",
                    listOf(FakeJob(1, pendingTasks = 3), FakeJob(2, pendingTasks = 2), FakeJob(3, pendingTasks = 2)),
                    listOf(2, 2, 3, 3, 1, 1, 1),
                ),
            )
        for (case in cases) {
            val queue = queueOf(*case.jobs.toTypedArray())
            assertEquals(case.order, queue.place(100), case.name)
            assertEquals(0, queue.size, case.name)
        }
    }

    /** Guards against a service without free slots that blocks other services or is tried once per job. */
    @Test
    fun `a placement key without a free slot is tried once and does not block others`() {
        val blocked = (1L..500L).map { FakeJob(it, team = "t${it % 7}", service = "stuck") }
        val queue = queueOf(*blocked.toTypedArray(), FakeJob(501, team = "t1", pendingTasks = 3, service = "free"))
        var attempts = 0
        val placed = mutableListOf<Long>()
        queue.dispatch { job ->
            attempts++
            val hasFreeSlot = job.service == "free"
            if (hasFreeSlot) {
                (job as FakeJob).pendingTasks--
                placed += job.sequence
            }
            hasFreeSlot
        }
        assertEquals(listOf(501L, 501L, 501L), placed)
        assertEquals(4, attempts)
        assertEquals(500, queue.place(1_000).size, "the next dispatch tries the key again")
    }

    /** Guards against dispatches that retry all blocked services, and against jobs that are skipped as a result. */
    @Test
    fun `a dispatch for services offers only jobs that may find a slot`() {
        val queue = queueOf(*(0..9L).map { FakeJob(it, "t$it", 2, 5, service = "s$it") }.toTypedArray())
        val freeSlotsByService = HashMap<String, Int>()
        val offered = mutableListOf<Long>()
        val place = { job: QueuedJob ->
            offered += job.sequence
            val freeSlots = freeSlotsByService[job.service] ?: 0
            if (freeSlots > 0) {
                freeSlotsByService[job.service] = freeSlots - 1
                (job as FakeJob).pendingTasks--
            }
            freeSlots > 0
        }

        fun offeredBy(dispatch: () -> Unit): List<Long> {
            offered.clear()
            dispatch()
            return offered.toList()
        }
        assertEquals(10, offeredBy { queue.dispatch(place) }.size)
        assertEquals(emptyList(), offeredBy { queue.dispatch(emptyList(), place) })
        freeSlotsByService["s3"] = 2
        assertEquals(listOf<Long>(3, 3, 3), offeredBy { queue.dispatch(listOf("s3"), place) })
        queue.put(FakeJob(10, "t10", 2, 1, service = "s4"))
        queue.put(FakeJob(11, "t4", 1, 1, service = "s4"))
        queue.put(FakeJob(12, "t4", 2, 1, service = "free"))
        freeSlotsByService["free"] = 1
        assertEquals(
            listOf<Long>(11, 12),
            offeredBy { queue.dispatch(emptyList(), place) },
            "a higher class is offered",
        )
        queue.taskEnded("t3")
        assertEquals(emptyList(), offeredBy { queue.dispatch(listOf("free"), place) })
        freeSlotsByService += (0..9).associate { "s$it" to 100 }
        queue.dispatch(place)
        assertEquals(0, queue.size)
    }

    /** Guards against a team that exceeds its quota, and against a quota that stays used after tasks ended. */
    @Test
    fun `a quota limits tasks in flight over all classes`() {
        val queue = queueOf(FakeJob(1, priority = 1, pendingTasks = 2), FakeJob(2, priority = 2, pendingTasks = 2))
        queue.setQuota("a", 3)
        assertEquals(listOf(1L, 1L, 2L), queue.place(10))
        assertEquals(emptyList(), queue.place(10))
        queue.taskEnded("a")
        assertEquals(listOf(2L), queue.place(10))
    }

    /** Guards against a corrupted order when the callback removes jobs, adds jobs or ends tasks. */
    @Test
    fun `the placement callback may change the queue`() {
        val expired = FakeJob(1)
        val followUp = FakeJob(3, team = "b")
        val queue = queueOf(expired, FakeJob(2, pendingTasks = 2))
        val offered = mutableListOf<Long>()
        queue.dispatch { job ->
            offered += job.sequence
            if (job === expired) {
                queue.remove(job)
                queue.put(followUp)
                false
            } else {
                (job as FakeJob).pendingTasks--
                queue.taskEnded(job.team)
                true
            }
        }
        assertEquals(listOf<Long>(1, 2, 2, 3), offered.sorted())
        assertEquals(0, queue.size)
    }

    /** Guards against lost or duplicated tasks, wrong counts and an unfair order. */
    @Test
    fun `random operations agree with a list-based reference`() {
        for (seed in 1L..200L) {
            val random = Random(seed)
            val queue = RealTaskQueue()
            val jobs = mutableListOf<FakeJob>()
            val inFlight = HashMap<String, Int>()
            repeat(200) { step ->
                when (random.nextInt(4)) {
                    0 -> jobs += randomJob(step.toLong(), random).also(queue::put)
                    1 -> jobs.removeRandom(random)?.let(queue::remove)
                    2 ->
                        inFlight.keys.randomOrNull(random)?.let { team ->
                            queue.taskEnded(team)
                            inFlight[team] = maxOf(0, inFlight.getValue(team) - 1)
                        }
                    else -> dispatchAndCheck(queue, jobs, inFlight, random)
                }
                assertEquals(jobs.sumOf { it.pendingTasks }, queue.size, "seed $seed step $step")
                val upTo = random.nextInt(1, 4)
                val ahead = jobs.filter { it.priority <= upTo }
                assertEquals(ahead.sumOf { it.pendingTasks }, queue.sizeAhead(upTo))
                assertEquals(ahead.sumOf { it.pendingTasks * 100L }, queue.expectedMillisAhead(upTo))
            }
        }
    }

    private fun randomJob(
        sequence: Long,
        random: Random,
    ) = FakeJob(sequence, "t${random.nextInt(4)}", random.nextInt(1, 4), random.nextInt(1, 6))

    private fun MutableList<FakeJob>.removeRandom(random: Random): FakeJob? =
        if (isEmpty()) null else removeAt(random.nextInt(size))

    private fun dispatchAndCheck(
        queue: TaskQueue,
        jobs: MutableList<FakeJob>,
        inFlight: MutableMap<String, Int>,
        random: Random,
    ) {
        var freeSlots = random.nextInt(8)
        val place = place@{ offered: QueuedJob ->
            if (freeSlots == 0) return@place false
            val best = jobs.filter { it.priority == jobs.minOf(FakeJob::priority) }
            val leastInFlight = best.minOf { inFlight[it.team] ?: 0 }
            assertTrue(offered in best, "a higher class waits")
            assertEquals(leastInFlight, inFlight[offered.team] ?: 0, "a team with less in flight waits")
            assertEquals(best.filter { it.team == offered.team }.minOf { it.pendingTasks }, offered.pendingTasks)
            freeSlots--
            (offered as FakeJob).pendingTasks--
            if (offered.pendingTasks == 0) jobs -= offered
            inFlight.merge(offered.team, 1, Int::plus)
            true
        }
        if (random.nextBoolean()) queue.dispatch(place) else queue.dispatch(listOf("orders"), place)
    }
}
