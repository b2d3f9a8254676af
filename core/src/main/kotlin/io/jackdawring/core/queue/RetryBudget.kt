package io.jackdawring.core.queue

import io.jackdawring.core.EntryOptions

/** Limits the retries of tasks that targets did not start to a percentage of the first sends. */
internal interface RetryBudget {
    /** Counts a first send of a task. */
    fun onFirstSend()

    /** Takes one retry from the budget and returns whether there was one. */
    fun tryTake(nowMillis: Long): Boolean

    /** Time at which a retry becomes available even if nothing is sent until then. */
    fun nextAvailableMillis(nowMillis: Long): Long

    /** Creates retry budgets. */
    fun interface Factory {
        fun create(options: EntryOptions): RetryBudget
    }
}
