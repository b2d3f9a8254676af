package io.jackdawring.fleet.store

import kotlinx.collections.immutable.toImmutableList

/** A store whose results are given by the test; calls stay pending until then. */
internal class FakeKeyValueStore : KeyValueStore {
    val lists = ArrayDeque<(ListResult) -> Unit>()
    val watches = ArrayDeque<(WatchResult) -> Unit>()

    /** Revisions after which watches were started. */
    val watchedAfter = ArrayList<Long>()

    override fun list(
        prefix: String,
        onResult: (ListResult) -> Unit,
    ) {
        lists.addLast(onResult)
    }

    override fun watch(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
        onResult: (WatchResult) -> Unit,
    ) {
        watchedAfter.add(afterRevision)
        watches.addLast(onResult)
    }

    override fun commit(
        change: StoreChange,
        onResult: (CommitResult) -> Unit,
    ) = error("not used")

    override fun grantLease(
        lifetimeMillis: Long,
        onResult: (LeaseResult) -> Unit,
    ) = Unit

    override fun renewLease(
        leaseId: Long,
        onResult: (LeaseResult) -> Unit,
    ) = error("not used")

    fun answerList(
        revision: Long,
        vararg items: StoreItem,
    ) = lists.removeFirst()(ListResult.Listed(items.toList().toImmutableList(), revision))

    fun answerWatch(
        revision: Long,
        vararg events: StoreEvent,
    ) = watches.removeFirst()(WatchResult.Changed(events.toList().toImmutableList(), revision))
}
