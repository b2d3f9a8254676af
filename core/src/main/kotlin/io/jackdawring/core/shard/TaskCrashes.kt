package io.jackdawring.core.shard

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The crashes of targets under the runs of one task, and what they mean for its next start.
 *
 * Most crashes under a task are not its fault, so the first one has no effect. From the second one on, the task waits
 * for a limited time until it is known which targets have crashed and which were only cut off, and then runs alone, so
 * that no other task is lost with it or counted as the cause of the next crash.
 */
internal class TaskCrashes {
    private var crashes: PersistentList<TargetCrash> = persistentListOf()
    private var heldUntilMillis = Long.MIN_VALUE

    val isEmpty: Boolean get() = crashes.isEmpty()
    val provenCount: Int get() = crashes.count { it.isProven }

    /** Whether the task has crashed so many targets that it must not start again. */
    val isExhausted: Boolean get() = provenCount >= MAX_CRASHES

    private val hasUnproven: Boolean get() = crashes.any { !it.isProven }

    fun toList(): List<TargetCrash> = crashes

    fun add(
        crash: TargetCrash,
        nowMillis: Long,
    ) = restore(crashes.filter { it.attempt != crash.attempt } + crash, nowMillis)

    /** Replaces the recorded crashes, the last of which was noticed at [nowMillis]. */
    fun restore(
        known: List<TargetCrash>,
        nowMillis: Long,
    ) {
        crashes = known.toPersistentList()
        val doublings = (crashes.size - CRASHES_TO_HOLD).coerceAtMost(MAX_DOUBLINGS)
        if (doublings >= 0) heldUntilMillis = nowMillis + (FIRST_HOLD_MILLIS shl doublings)
    }

    /** Marks the suspected [crash] as proven. */
    fun prove(crash: TargetCrash) {
        crashes = crashes.map { if (it.attempt == crash.attempt) it.copy(isProven = true) else it }.toPersistentList()
    }

    /** Drops the suspected [crash]. */
    fun drop(crash: TargetCrash) {
        crashes = crashes.removeAll { it.attempt == crash.attempt && !it.isProven }
    }

    fun clear() {
        crashes = persistentListOf()
    }

    /** Whether the next start waits until it is known which of the targets have crashed. */
    fun isHeld(nowMillis: Long): Boolean = nowMillis < heldUntilMillis && hasUnproven

    /** Whether no other run may be started beside the next one. */
    val isSuspicious: Boolean get() = crashes.size >= CRASHES_TO_HOLD

    /** Whether the next run needs a target without other runs. */
    fun runsAlone(nowMillis: Long): Boolean =
        isSuspicious && nowMillis < heldUntilMillis + MAX_WAIT_FOR_IDLE_TARGET_MILLIS

    companion object {
        /** Crashes of targets under one task after which its job fails. */
        const val MAX_CRASHES = 3

        /** Suspected or proven crashes from which on the next start is held and runs alone. */
        private const val CRASHES_TO_HOLD = 2

        /**
         * Longest hold after the second crash; each further crash doubles it.
         *
         * The platform counts an idle task as lost after 3 s, or after 7 s around a disruption such as a third crash.
         */
        private const val FIRST_HOLD_MILLIS = 2_500L
        private const val MAX_DOUBLINGS = 3

        /** Time after the longest hold from which on the task may run beside others. */
        private const val MAX_WAIT_FOR_IDLE_TARGET_MILLIS = 1_000L
    }
}
