package io.jackdawring.testing

import io.jackdawring.core.Effect
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.ListedState
import io.jackdawring.core.NotStartedReason
import io.jackdawring.core.Payload
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetUsage
import kotlin.random.Random

/** A target with slots on virtual time; the result of a task is its task reference as text. */
class FakeTarget(
    val id: String,
    val failureDomain: FailureDomainId,
    private val slots: Int,
    private val clock: VirtualClock,
    private val random: Random,
    private val startLog: StartLog,
) {
    private val runs = HashMap<Any, Run>()
    private var incarnation = 0

    /** Number of running tasks. */
    val running: Int get() = runs.size

    /** Number of tasks that this target has started. */
    var starts: Int = 0
        private set

    /** Number of starts refused because all slots were in use. */
    var busyRefusals: Int = 0
        private set

    var alive: Boolean = true
        private set
    var leaving: Boolean = false
    var failsEverything: Boolean = false

    /** Run time of a task in milliseconds, drawn anew for each start. */
    var runMillis: (Random) -> Long = { it.nextLong(MIN_RUN_MILLIS, MAX_RUN_MILLIS) }

    /** Time in milliseconds at which this target last became leaving, or null. */
    var leavingSinceMillis: Long? = null
        private set

    val address: String get() = "target-$id:1"

    fun listed(): ListedInstance =
        ListedInstance(
            id = id,
            role = InstanceRole.TARGET,
            failureDomain = failureDomain,
            address = address,
            state = if (leaving) ListedState.LEAVING else ListedState.LIVE,
            slots = slots,
            services = listOf(TestConfiguration.SERVICE),
        )

    fun leave() {
        if (leavingSinceMillis == null) leavingSinceMillis = clock.nowMillis
        leaving = true
    }

    /** Ends the process; every running task is lost. */
    fun crash() {
        alive = false
        incarnation++
        val lost = runs.values.toList()
        runs.clear()
        lost.forEach { it.answer(TargetAnswer.Lost("connection closed")) }
    }

    fun restart() {
        alive = true
        leaving = false
        leavingSinceMillis = null
        failsEverything = false
    }

    /** Starts the task of [start] or answers why it did not; [connection] identifies the sender's connection. */
    fun start(
        start: Effect.StartTask,
        connection: Any,
        answer: (TargetAnswer) -> Unit,
    ) {
        when {
            !alive -> answer(TargetAnswer.NotStarted(NotStartedReason.UNREACHABLE))
            runs.size >= slots -> {
                busyRefusals++
                answer(TargetAnswer.NotStarted(NotStartedReason.BUSY, usage()))
            }
            else -> run(start, connection, answer)
        }
    }

    /** Stops the task of [connection], which its sender has closed. */
    fun disconnect(connection: Any) {
        runs.remove(connection)
    }

    private fun run(
        start: Effect.StartTask,
        connection: Any,
        answer: (TargetAnswer) -> Unit,
    ) {
        startLog.record(start.task)
        starts++
        runs[connection] = Run(answer)
        val startedBy = incarnation
        clock.schedule(runMillis(random)) {
            if (incarnation == startedBy && runs.remove(connection) != null) answer(result(start))
        }
    }

    private fun result(start: Effect.StartTask): TargetAnswer =
        if (failsEverything) {
            TargetAnswer.TaskFailed("this target fails all tasks", usage())
        } else {
            TargetAnswer.Succeeded(Payload.of("\"${start.task}\""), usage())
        }

    private fun usage() = TargetUsage(runs.size, leaving)

    private class Run(
        val answer: (TargetAnswer) -> Unit,
    )

    private companion object {
        const val MIN_RUN_MILLIS = 5L
        const val MAX_RUN_MILLIS = 400L
    }
}
