package io.jackdawring.core.shard

/** A run on a target of the shard; [owner] is null while no job has claimed it. */
internal class HeldRun(
    val key: TaskKey,
    val attempt: Int,
    val target: HeldTarget,
    var owner: HeldTask?,
    val sentAtMillis: Long,
    val expectedMillis: Long,
) {
    var state = State.STARTING

    /** Time from which a list of the target without this run proves that it is over. */
    var listedFromMillis = Long.MAX_VALUE

    /** Why the run was stopped; null while it should go on. */
    var stopReason: String? = null
    var stopSentAtMillis = Long.MIN_VALUE

    /** Time at which the lease of the order is over for certain, even if it is carried out late. */
    var leaseOverAtMillis = Long.MAX_VALUE

    val demand: Resources get() = owner?.spec?.demand ?: Resources()

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
