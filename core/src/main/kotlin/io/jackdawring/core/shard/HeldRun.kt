package io.jackdawring.core.shard

/** A run on a target of the shard; [owner] is null while no job has claimed it. */
internal class HeldRun(
    val key: TaskKey,
    val attempt: Int,
    val target: HeldTarget,
    owner: HeldTask?,
    val sentAtMillis: Long,
    expectedMillis: Long,
    /** Whether an earlier holder started the run, so that its duration is not known. */
    val isAdopted: Boolean = false,
) {
    var owner = owner
        private set

    /** Expected duration from [sentAtMillis]; 0 while it is not known what runs. */
    var expectedMillis = expectedMillis
        private set

    /** Gives the run to the task that it belongs to. */
    fun claim(task: HeldTask) {
        owner = task
        expectedMillis = task.spec.estimateMillis
        task.saved(checkpoint)
    }

    /** What the run has saved last. */
    var checkpoint: Checkpoint? = null
        private set

    /** Notes that the target lists [value] as saved by this run. */
    fun saved(value: String?) {
        if (value == null) return
        checkpoint = Checkpoint(value, attempt)
        owner?.saved(checkpoint)
    }

    var state = State.STARTING

    /** Time from which a list of the target without this run proves that it is over. */
    var listedFromMillis = Long.MAX_VALUE

    /** Why the run was stopped; null while it should go on. */
    var stopReason: String? = null
    var stopSentAtMillis = Long.MIN_VALUE

    fun expectedEndMillis(nowMillis: Long): Long =
        maxOf(sentAtMillis + expectedMillis, nowMillis + expectedMillis / OVERDUE_SHARE)

    val demand: Resources get() = owner?.spec?.demand ?: Resources()

    private companion object {
        /** A run past its expected end is taken to need a further quarter of it. */
        const val OVERDUE_SHARE = 4
    }

    /** What is known of a run. */
    enum class State {
        /** Ordered and not yet answered. */
        STARTING,

        /** Present on the target. */
        RUNNING,

        /** Ordered without an answer; it may start late. */
        UNCERTAIN,

        /** Told to stop; its end is not yet listed. */
        STOPPING,
    }
}
