package io.jackdawring.core.shard

/** Counts what the decisions of a shard look at: tasks that wait, targets, and runs on them. */
internal class DecisionCost {
    var examined = 0L
        private set

    fun add(count: Int = 1) {
        examined += count
    }
}
