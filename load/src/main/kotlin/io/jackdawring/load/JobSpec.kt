package io.jackdawring.load

import kotlinx.collections.immutable.ImmutableList

/** A job as the load tool sends it; [runMillis] has the nominal run time of each task. */
class JobSpec(
    val submissionId: String,
    val service: String,
    val kind: String,
    val deadlineMillis: Long,
    val runMillis: ImmutableList<Long>,
) {
    /** Response time of an idle system: the longest task plus [networkMillis]. */
    fun idealMillis(networkMillis: Long): Long = runMillis.max() + networkMillis

    /** Lower bound of the response time on [slots] slots: the longest task or the total run time per slot. */
    fun idealMillisOn(slots: Int): Long = maxOf(runMillis.max(), runMillis.sum() / slots)

    /** Unique value in the payload of task [index], which the result of the task must repeat. */
    fun marker(index: Int): String = "$submissionId/$index"
}
