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
    /** Response time of a system without load: the longest task plus [networkMillis]. */
    fun idealMillis(networkMillis: Long): Long = runMillis.max() + networkMillis

    /** Shortest response time on [slots] slots: no job ends before its longest task, nor before all slots did its work. */
    fun idealMillisOn(slots: Int): Long = maxOf(runMillis.max(), runMillis.sum() / slots)

    /** Value that the payload of task [index] carries and its result must repeat; no other task has it. */
    fun marker(index: Int): String = "$submissionId/$index"
}
