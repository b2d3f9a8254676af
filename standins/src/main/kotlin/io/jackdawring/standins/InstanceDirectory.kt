package io.jackdawring.standins

import io.jackdawring.core.InstanceList
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.ListedState

/** The platform's instance list with leases; readers see changes after [lagMillis]. Thread-safe. */
internal class InstanceDirectory(
    private val timers: Timers,
) {
    private class Registration(
        val instance: ListedInstance,
        val leaseMillis: Long?,
        val lease: TimerHandle?,
    )

    private val lock = Any()
    private val registrations = LinkedHashMap<String, Registration>()
    private val watches = WatchTable<Unit, InstanceList>(timers)
    private var version = 0L
    private var visible = InstanceList(0, emptyList())

    @Volatile
    var lagMillis: Long = 0

    val waitingWatches: Int get() = watches.size

    fun list(): InstanceList = synchronized(lock) { visible }

    /** Calls [onList] once the visible list is past [afterVersion], or with the current one after [waitMillis]. */
    fun watch(
        afterVersion: Long,
        waitMillis: Long,
        onList: (InstanceList) -> Unit,
    ): TimerHandle {
        val current =
            synchronized(lock) {
                visible.takeIf { it.version > afterVersion } ?: return watches.add(Unit, waitMillis, ::list, onList)
            }
        onList(current)
        return TimerHandle {}
    }

    /**
     * Registers [instance] or renews its lease.
     *
     * A renewal at the same address keeps a leaving state set by an operator.
     */
    fun register(
        instance: ListedInstance,
        leaseMillis: Long?,
    ) = change {
        val previous = registrations[instance.id]
        val keepLeaving =
            previous?.instance?.state == ListedState.LEAVING && previous.instance.address == instance.address
        store(if (keepLeaving) instance.copy(state = ListedState.LEAVING) else instance, leaseMillis)
        true
    }

    fun setState(
        id: String,
        state: ListedState,
    ): Boolean =
        change {
            val previous = registrations[id] ?: return@change false
            store(previous.instance.copy(state = state), previous.leaseMillis)
            true
        }

    fun remove(id: String): Boolean =
        change {
            val removed = registrations.remove(id)
            removed?.lease?.cancel()
            removed != null
        }

    /** Restarts all leases, because they could not be renewed while the platform was down. */
    fun restartLeases() =
        synchronized(lock) {
            registrations.values.toList().forEach { store(it.instance, it.leaseMillis) }
        }

    /** Suspends all leases, so that none expires while the platform is down. */
    fun suspendLeases() = synchronized(lock) { registrations.values.forEach { it.lease?.cancel() } }

    private fun store(
        instance: ListedInstance,
        leaseMillis: Long?,
    ) {
        registrations[instance.id]?.lease?.cancel()
        val lease = leaseMillis?.let { timers.schedule(it) { remove(instance.id) } }
        registrations[instance.id] = Registration(instance, leaseMillis, lease)
    }

    private fun change(apply: () -> Boolean): Boolean {
        var changed: InstanceList? = null
        val known =
            synchronized(lock) {
                val before = registrations.mapValues { it.value.instance }
                val known = apply()
                val after = registrations.mapValues { it.value.instance }
                // A renewed lease does not change the version, because a new version wakes every waiting reader.
                if (before != after) changed = InstanceList(++version, after.values.toList())
                known
            }
        changed?.let(::publish)
        return known
    }

    private fun publish(list: InstanceList) {
        val lag = lagMillis
        if (lag == 0L) show(list) else timers.schedule(lag) { show(list) }
    }

    private fun show(list: InstanceList) {
        val woken =
            synchronized(lock) {
                if (list.version <= visible.version) return
                visible = list
                watches.take(Unit)
            }
        woken.forEach { it(list) }
    }
}
