package io.jackdawring.core.queue

import io.jackdawring.core.EntryOptions

/** Limits repeated sends of tasks that were not started to a share of all starts. */
internal interface RetryBudget {
    /** Counts a first send of a task. */
    fun onFirstSend()

    /** Takes one retry from the budget and returns whether there was one. */
    fun tryTake(nowMillis: Long): Boolean

    /** Time at which a retry becomes available although nothing is sent. */
    fun nextAvailableMillis(nowMillis: Long): Long

    /** Creates retry budgets. */
    fun interface Factory {
        fun create(options: EntryOptions): RetryBudget
    }
}
