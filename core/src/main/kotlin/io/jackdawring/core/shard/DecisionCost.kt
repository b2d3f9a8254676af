package io.jackdawring.core.shard

/** Counts the waiting tasks, targets and runs that the decisions of a shard examine. */
internal class DecisionCost {
    var examined = 0L
        private set

    fun add(count: Int = 1) {
        examined += count
    }
}
