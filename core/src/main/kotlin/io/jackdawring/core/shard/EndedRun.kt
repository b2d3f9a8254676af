package io.jackdawring.core.shard

/**
 * A run that its target lists as ended.
 *
 * [sequence] numbers the ended runs of one target incarnation from 1; [checkpoint] is the last one that the run saved.
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

        /** The lease expired before it was renewed. */
        LAPSED,

        /** Another member of the run's gang ended, or not all members of the gang started. */
        BROKEN,
    }
}
