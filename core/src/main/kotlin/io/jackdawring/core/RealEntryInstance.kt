package io.jackdawring.core

import kotlinx.collections.immutable.persistentListOf

internal class RealEntryInstance(
    private val options: EntryOptions,
) : EntryInstance {
    override fun handle(
        event: Event,
        nowMillis: Long,
        effects: EffectSink,
    ) = Unit

    override fun nextTimerMillis(): Long? = null

    override fun snapshot(): InstanceSnapshot =
        InstanceSnapshot(
            self = options.self,
            ready = false,
            draining = false,
            configurationVersion = 0,
            sessions = 0,
            records = 0,
            runningJobs = 0,
            queuedTasks = 0,
            tasksInFlight = 0,
            storeReachable = false,
            members = persistentListOf(),
            targets = persistentListOf(),
        )
}
