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

    /** Value that the payload of task [index] carries and its result must repeat; no other task has it. */
    fun marker(index: Int): String = "$submissionId/$index"
}
