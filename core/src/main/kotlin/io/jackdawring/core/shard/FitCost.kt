package io.jackdawring.core.shard

/** Term of the cost of a placement that rates the free CPU that the target has left afterwards. */
internal fun interface FitCost {
    /** Cost of running [task] on [target], which has room for it; lower is better. */
    fun cost(
        task: TrackedTask,
        target: TrackedTarget,
    ): Double
}

/** Rates the share of one more task of the same demand that the remaining CPU cannot be used for. */
internal object RemainderCost : FitCost {
    override fun cost(
        task: TrackedTask,
        target: TrackedTarget,
    ): Double {
        val demand =
            task.spec.demand.cpuMillis
                .coerceAtLeast(1)
        val left = target.free.cpuMillis - demand
        return (left % demand) / demand.toDouble()
    }
}
