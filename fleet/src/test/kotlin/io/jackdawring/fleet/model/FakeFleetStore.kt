package io.jackdawring.fleet.model

import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.CommitResult
import io.jackdawring.fleet.store.StoreChange
import io.jackdawring.fleet.store.StoreEvent
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.WatchResult
import io.jackdawring.testing.VirtualClock
import kotlinx.collections.immutable.toImmutableList

/** Linearizable store with leases and watches; entry instances reach it through [FakeStoreClient]. */
internal class FakeFleetStore(
    private val clock: VirtualClock,
    private val trace: FleetTrace,
) {
    private class Watch(
        val prefix: String,
        val afterRevision: Long,
        val onChanged: (WatchResult) -> Unit,
    )

    val items = LinkedHashMap<String, StoreItem>()
    var revision = 0L
        private set
    private val events = ArrayList<Pair<Long, StoreEvent>>()
    private val watches = ArrayList<Watch>()
    private val leaseEnds = HashMap<Long, Long>()
    private val lifetimes = HashMap<Long, Long>()
    private var lastLease = 0L

    /** What happens to a commit that reaches the store. */
    var fateOf: (StoreChange) -> CommitFate = { CommitFate.ANSWERED }

    /** Time until which calls are refused. */
    var downUntilMillis = 0L

    /** Time until which calls take up to [SLOW_MILLIS] in each direction. */
    var slowUntilMillis = 0L

    val maxLatencyMillis: Long get() = if (clock.nowMillis < slowUntilMillis) SLOW_MILLIS else 1

    val isDown: Boolean get() = clock.nowMillis < downUntilMillis

    fun commit(change: StoreChange): CommitResult {
        if (change.conditions.any { (items[it.key]?.revision ?: 0) != it.revision }) {
            return CommitResult.Conflict(change.conditions.mapNotNull { items[it.key] }.toImmutableList())
        }
        if (change.writes.any { it.leaseId != 0L && it.leaseId !in leaseEnds }) return CommitResult.LeaseEnded
        revision++
        for (write in change.writes) {
            val item = StoreItem(write.key, write.value, revision, write.leaseId)
            items[write.key] = item
            events.add(revision to StoreEvent.Written(item))
            if (write.key.startsWith(FleetKeys.SHARDS)) trace.add("${write.key} -> ${item.value.decodeToString()}")
        }
        change.removals.forEach(::remove)
        notifyWatches()
        return CommitResult.Committed(revision)
    }

    private fun remove(key: String) {
        if (items.remove(key) != null) events.add(revision to StoreEvent.Removed(key, revision))
    }

    private fun eventsAfter(
        prefix: String,
        after: Long,
    ) = events.filter { (at, event) -> at > after && event.key.startsWith(prefix) }.map { it.second }

    /** Calls [onChanged] once, at the next change or after [waitMillis]. */
    fun watch(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
        onChanged: (WatchResult) -> Unit,
    ) {
        val watch = Watch(prefix, afterRevision, onChanged)
        watches.add(watch)
        notifyWatches()
        clock.schedule(waitMillis) { if (watches.remove(watch)) answer(watch) }
    }

    private fun notifyWatches() {
        val changed = watches.filter { eventsAfter(it.prefix, it.afterRevision).isNotEmpty() }
        watches.removeAll(changed.toSet())
        changed.forEach(::answer)
    }

    private fun answer(watch: Watch) =
        watch.onChanged(
            WatchResult.Changed(eventsAfter(watch.prefix, watch.afterRevision).toImmutableList(), revision),
        )

    fun grantLease(millis: Long): Long {
        val id = ++lastLease
        lifetimes[id] = millis
        extend(id, millis)
        return id
    }

    /** Renews the lease [id]; returns its lifetime, or null if it has ended. */
    fun renewLease(id: Long): Long? = lifetimes[id]?.takeIf { id in leaseEnds }?.also { extend(id, it) }

    private fun extend(
        id: Long,
        millis: Long,
    ) {
        leaseEnds[id] = clock.nowMillis + millis
        clock.schedule(millis) {
            if ((leaseEnds[id] ?: Long.MAX_VALUE) > clock.nowMillis) return@schedule
            leaseEnds.remove(id)
            revision++
            items.values.filter { it.leaseId == id }.forEach { remove(it.key) }
            notifyWatches()
        }
    }

    private companion object {
        const val SLOW_MILLIS = 200L
    }
}
