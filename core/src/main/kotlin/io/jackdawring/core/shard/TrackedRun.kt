package io.jackdawring.core.shard

import io.jackdawring.core.shard.interference.RunNeighbours

/** A run on a target of the shard; [owner] is null until a job claims the run. */
internal class TrackedRun(
    val key: TaskKey,
    val attempt: Int,
    val target: TrackedTarget,
    owner: TrackedTask?,
    val sentAtMillis: Long,
    expectedMillis: Long,
    /** Whether the run was first seen in the target's list, so that its duration cannot be measured. */
    val isAdopted: Boolean = false,
) {
    var owner = owner
        private set

    /** Expected duration from [sentAtMillis]; 0 until the run is claimed. */
    var expectedMillis = expectedMillis
        private set

    /** Assigns the run to the task that it belongs to. */
    fun claim(task: TrackedTask) {
        owner = task
        expectedMillis = task.spec.estimateMillis
        task.recordCheckpoint(checkpoint)
    }

    /** Last checkpoint that the run saved. */
    var checkpoint: Checkpoint? = null
        private set

    /** Records the checkpoint [value] that the target lists for this run. */
    fun recordCheckpoint(value: String?) {
        if (value == null) return
        checkpoint = Checkpoint(value, attempt)
        owner?.recordCheckpoint(checkpoint)
    }

    /** Incarnation of the target that has the run; it changes if a late start reaches the next incarnation. */
    var incarnationStartMillis: Long? = target.incarnationStartMillis

    /** The crash of the target under this run, or null if the incarnation that has the run is unknown. */
    fun toSuspectedCrash(): TargetCrash? = incarnationStartMillis?.let { TargetCrash(attempt, target.id, it) }

    var state = State.STARTING

    /** Polls that are sent after this time list the run, unless it is over. */
    var listedAfterMillis = Long.MAX_VALUE

    /** Time at which the last poll was sent whose answer lists the run. */
    var listedByPollSentAtMillis = Long.MIN_VALUE

    /** Whether the target is known to have survived the run for so long that its start cannot crash it. */
    val isSound: Boolean get() = listedByPollSentAtMillis >= sentAtMillis + SOUND_RUN_MILLIS

    /** Whether the target has listed the run for so long that it neither failed at its start nor was lost. */
    val works: Boolean get() = listedByPollSentAtMillis >= sentAtMillis + WORKING_RUN_MILLIS

    /** Whether the target has been silent for a while, so that it may have crashed. */
    var isAtRisk = false

    /** Which kinds of task ran beside this run; null before it is on its target. */
    var neighbours: RunNeighbours? = null

    /** Why a stop was requested; null while the run should continue. */
    var stopReason: String? = null
    var stopSentAtMillis = Long.MIN_VALUE

    /** Whether the target has confirmed the start, or listed the run. */
    var isStartConfirmed = isAdopted

    /** Whether the target's last list has another attempt of the same task. */
    var isOtherAttemptListed = false

    /** Whether the lists contradict a rejection of the start, so that only a stop shows that nothing runs. */
    val contradictsRejection: Boolean get() = isStartConfirmed || isOtherAttemptListed

    /** Whether the target has accepted a stop request. */
    var isStopAccepted = false

    /** Whether a stop request has timed out and none was accepted since. */
    var isStopOverdue = false

    val isStopUnanswered: Boolean get() = stopReason != null && !isStopAccepted

    fun expectedEndMillis(nowMillis: Long): Long =
        maxOf(sentAtMillis + expectedMillis, nowMillis + expectedMillis / MIN_REMAINING_DIVISOR)

    /** Whether the run ends only with the cancellation of its job. */
    val isLongRunning: Boolean get() = owner?.spec?.longRunning == true

    val demand: Resources get() = owner?.spec?.demand ?: Resources()

    private companion object {
        /** A run is always assumed to need at least another quarter of its expected duration. */
        const val MIN_REMAINING_DIVISOR = 4

        /** Bounds the time for which one run keeps others from a target on probation. */
        const val WORKING_RUN_MILLIS = 1_000L

        /** Far above the time in which a task that crashes its targets does so. */
        const val SOUND_RUN_MILLIS = 5_000L
    }

    /** What the holder knows about a run. */
    enum class State {
        /** The start request was sent and has no answer yet. */
        STARTING,

        /** Present on the target. */
        RUNNING,

        /** The start request remained unanswered; the run may exist or still start. */
        UNCERTAIN,

        /** A stop was requested; the end of the run is not listed yet. */
        STOPPING,
    }
}
