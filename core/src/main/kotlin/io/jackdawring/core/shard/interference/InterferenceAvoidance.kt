package io.jackdawring.core.shard.interference

import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.TrackedRun
import io.jackdawring.core.shard.TrackedTarget
import io.jackdawring.core.shard.TrackedTask

/** Feeds the [InterferenceModel] with the runs of a shard, and makes placement prefer targets without interference. */
internal class InterferenceAvoidance(
    private val report: (ShardDecision) -> Unit,
) : PlacementPenalty {
    private val model = InterferenceModel(::onChanged)
    private val kinds = KindTable { model.forget(it) }
    private val choice = PlacementChoice()
    private var decayedAtMillis = 0L
    private var pairsApart = 0

    fun onRunAdded(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        val kind = run.owner?.let { kinds.onStarted(it.kind, nowMillis) } ?: KindTable.SHARED
        val isAvoided = run.owner != null && choice.isAvoided(run, nowMillis)
        // A run from a checkpoint is shorter than declared; adopted runs have started earlier than is known.
        val isMeasured = !run.isAdopted && run.owner?.checkpoint == null
        run.neighbours = run.target.neighbours.add(kind, run.expectedMillis, isMeasured, nowMillis)
        if (isAvoided) report(ShardDecision.NeighbourAvoided(run.key, run.target.id))
    }

    fun onRunRemoved(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        val neighbours = run.neighbours ?: return
        if (run.target.neighbours.remove(neighbours, nowMillis)) kinds.onEnded(neighbours.kind, nowMillis)
    }

    /** Learns from a run that has succeeded. */
    fun onDone(
        task: TrackedTask,
        run: TrackedRun,
        nowMillis: Long,
    ) {
        val neighbours = run.neighbours ?: return
        if (!neighbours.isMeasured) return
        // The tasks of a step share the error of its declared duration, so together they are one observation.
        val weight = 1.0 / task.spec.count
        model.add(neighbours, nowMillis - run.sentAtMillis, run.expectedMillis, weight, nowMillis)
    }

    override fun of(
        task: TrackedTask,
        target: TrackedTarget,
        cost: Double,
        nowMillis: Long,
    ): Double {
        if (!model.hasPairsApart) return 0.0
        if (!choice.isFor(task, nowMillis)) choice.start(task, kinds.find(task.kind), nowMillis)
        val interferes = target.neighbours.hasKind { model.areApart(choice.kind, it) }
        choice.add(target, cost, interferes)
        return if (interferes) INTERFERENCE_COST else 0.0
    }

    /** Lets old observations lose their weight. */
    fun tick(nowMillis: Long) {
        if (nowMillis - decayedAtMillis < DECAY_INTERVAL_MILLIS) return
        decayedAtMillis = nowMillis
        model.decay(nowMillis)
    }

    /** Forgets everything when the shard gets another holder. */
    fun release() = model.forgetAll()

    private fun onChanged(pair: InterferenceModel.Pair) {
        val isApart = model.areApart(pair.kind, pair.neighbour)
        pairsApart += if (isApart) 1 else -1
        val kind = kinds.label(pair.kind)
        report(ShardDecision.KindsSeparated(kind, kinds.label(pair.neighbour), pair.factor, isApart, pairsApart))
    }

    private val TrackedTask.kind: TaskKind get() = TaskKind(job.spec.queue, spec.image)

    private companion object {
        /** Above the differences between targets that meet the objective, below the cost of one that does not. */
        const val INTERFERENCE_COST = 1e4

        /** Small against the half-life of the observations. */
        const val DECAY_INTERVAL_MILLIS = 1_000L
    }
}
