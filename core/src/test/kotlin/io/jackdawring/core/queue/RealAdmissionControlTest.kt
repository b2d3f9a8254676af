package io.jackdawring.core.queue

import io.jackdawring.core.RefusalReason
import io.jackdawring.core.entryOptions
import io.jackdawring.core.target.Availability
import io.jackdawring.core.target.PoolCapacity
import io.jackdawring.core.target.ownerIn
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RealAdmissionControlTest {
    private val queue = RealTaskQueue()
    private val options = entryOptions(ownerIn("a")) { maxQueuedTasks = 1_000 }
    private val control = RealAdmissionControl.Factory.create(options, queue)
    private val capacity = PoolCapacity(usableSlots = 10, inFlight = 10, slowness = 1.0, fleetSlots = 80)
    private val request =
        AdmissionRequest(
            team = "a",
            priority = 1,
            tasks = 1,
            expectedMillisPerTask = 100,
            deadlineMillis = 2_000,
            availability = Availability.POSSIBLE,
            capacity = capacity,
        )

    private fun queued(
        tasks: Int,
        priority: Int,
    ) = queue.put(FakeJob(tasks * 10L + priority, priority = priority, pendingTasks = tasks))

    /** Guards against admission of jobs that cannot run or finish in time, and against unjustified refusals. */
    @Test
    fun `refusals by reason`() {
        queued(150, priority = 2)
        val cases =
            listOf(
                request to null,
                request.copy(availability = Availability.NEVER) to RefusalReason.CAN_NEVER_RUN,
                request.copy(availability = Availability.NO_TARGETS) to RefusalReason.NO_TARGETS,
                request.copy(deadlineMillis = 99) to RefusalReason.DEADLINE_UNREACHABLE,
                request.copy(priority = 2) to null,
                request.copy(priority = 2, deadlineMillis = 1_599) to RefusalReason.DEADLINE_UNREACHABLE,
                request.copy(priority = 2, capacity = capacity.copy(slowness = 2.0)) to
                    RefusalReason.DEADLINE_UNREACHABLE,
                request.copy(priority = 2, deadlineMillis = 1, capacity = PoolCapacity(0, 0, 1.0)) to null,
                request.copy(tasks = 800, deadlineMillis = 1_000) to null,
                request.copy(tasks = 800, deadlineMillis = 999) to RefusalReason.DEADLINE_UNREACHABLE,
                request.copy(tasks = 851) to RefusalReason.OVERLOADED,
            )
        for ((case, reason) in cases) assertEquals(reason, control.check(case)?.reason, "$case")
    }

    /** Guards against a lower class that fills the queue so that the highest class is refused. */
    @Test
    fun `lower classes are refused at smaller fill levels`() {
        val longDeadline = request.copy(deadlineMillis = 1_000_000)
        val accepted = { priority: Int -> control.check(longDeadline.copy(priority = priority)) == null }
        val limits = listOf(639 to listOf(1, 2, 3), 640 to listOf(1, 2), 800 to listOf(1), 1_000 to listOf())
        for ((fill, classes) in limits) {
            val job = FakeJob(1, priority = 3, pendingTasks = fill)
            queue.put(job)
            assertEquals(classes, listOf(1, 2, 3).filter(accepted), "fill $fill")
            queue.remove(job)
        }
    }

    /** Guards against retry times that make callers retry immediately, or after an unreasonable time. */
    @Test
    fun `retry time follows the drain time within bounds`() {
        fun retryMillis(
            fill: Int,
            request: AdmissionRequest,
        ): Long {
            val job = FakeJob(1, priority = 1, pendingTasks = fill)
            queue.put(job)
            return assertNotNull(control.check(request)?.retryAfterMillis).also { queue.remove(job) }
        }
        assertEquals(1_000, retryMillis(200, request.copy(deadlineMillis = 1_100)))
        assertEquals(100, retryMillis(200, request.copy(deadlineMillis = 2_099)))
        assertEquals(9_000, retryMillis(1_000, request.copy(tasks = 900)))
        assertEquals(30_000, retryMillis(1_000, request.copy(tasks = 900, capacity = capacity.copy(slowness = 99.0))))
    }

    /** Guards against a wrong declared run time that causes all jobs to be refused permanently. */
    @Test
    fun `a fraction of the jobs whose run time exceeds the deadline is admitted`() {
        val long = request.copy(expectedMillisPerTask = 5_000)
        val admitted = (1..160).count { control.check(long) == null }
        assertEquals(160 / RealAdmissionControl.LONG_RUN_TRIAL_ONE_IN, admitted)
        queued(100, priority = 1)
        assertTrue((1..160).all { control.check(long) != null }, "not while others wait")
        assertNull(control.check(request))
    }
}
