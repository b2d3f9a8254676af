package io.jackdawring.core.shard.interference

import io.jackdawring.core.shard.TrackedRun
import io.jackdawring.core.shard.TrackedTarget
import io.jackdawring.core.shard.TrackedTask

/** The targets among which the last task was placed, to tell whether interference has changed the choice. */
internal class PlacementChoice {
    private var task: TrackedTask? = null
    private var madeAtMillis = 0L
    private var lowestCost = Double.MAX_VALUE
    private var lowestInterferes = false
    private val interfering = HashSet<TrackedTarget>()

    /** Kind of the task. */
    var kind = KindTable.SHARED
        private set

    fun isFor(
        task: TrackedTask,
        nowMillis: Long,
    ): Boolean = task === this.task && madeAtMillis == nowMillis

    fun start(
        task: TrackedTask,
        kind: Int,
        nowMillis: Long,
    ) {
        this.task = task
        this.kind = kind
        madeAtMillis = nowMillis
        lowestCost = Double.MAX_VALUE
        lowestInterferes = false
        interfering.clear()
    }

    /** Adds a target with its [cost] without regard to interference. */
    fun add(
        target: TrackedTarget,
        cost: Double,
        interferes: Boolean,
    ) {
        if (interferes) interfering.add(target)
        if (cost >= lowestCost) return
        lowestCost = cost
        lowestInterferes = interferes
    }

    /** Whether [run] would have been placed beside an interfering run otherwise; ends the choice. */
    fun isAvoided(
        run: TrackedRun,
        nowMillis: Long,
    ): Boolean {
        val owner = run.owner
        val isAvoided = owner != null && isFor(owner, nowMillis) && lowestInterferes && run.target !in interfering
        task = null
        return isAvoided
    }
}
