package io.jackdawring.core.shard

/**
 * A run that a target lists as ended.
 *
 * [sequence] counts the ends of one incarnation from 1; [checkpoint] is what the run has saved last.
 */
data class EndedRun(
    val sequence: Long,
    val task: TaskKey,
    val attempt: Int,
    val ending: Ending,
    val checkpoint: String? = null,
) {
    /** How a run ended. */
    enum class Ending {
        DONE,
        FAILED,
        STOPPED,

        /** The lease was not renewed in time. */
        LAPSED,

        /** Another member of its gang ended, or the rest of the gang did not come. */
        BROKEN,
    }
}
