package io.jackdawring.fleet.store

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** The platform's key-value store; each call delivers exactly one result, on the control thread. */
interface KeyValueStore {
    /** Reads all items whose key begins with [prefix]. */
    fun list(
        prefix: String,
        onResult: (ListResult) -> Unit,
    )

    /** Waits up to [waitMillis] for changes after [afterRevision] of keys that begin with [prefix]. */
    fun watch(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
        onResult: (WatchResult) -> Unit,
    )

    /** Applies [change] atomically if its conditions hold. */
    fun commit(
        change: StoreChange,
        onResult: (CommitResult) -> Unit,
    )

    /** Requests a lease of [lifetimeMillis]. */
    fun grantLease(
        lifetimeMillis: Long,
        onResult: (LeaseResult) -> Unit,
    )

    /** Renews the lease [leaseId]. */
    fun renewLease(
        leaseId: Long,
        onResult: (LeaseResult) -> Unit,
    )
}

/** A store item; [leaseId] is 0 if it is bound to no lease. */
class StoreItem(
    val key: String,
    val value: ByteArray,
    val revision: Long,
    val leaseId: Long = 0,
)

/** A change reported by [KeyValueStore.watch]. */
sealed interface StoreEvent {
    val key: String

    /** The item was created or updated. */
    class Written(
        val item: StoreItem,
    ) : StoreEvent {
        override val key get() = item.key
    }

    /** The item was removed at [revision]. */
    class Removed(
        override val key: String,
        val revision: Long,
    ) : StoreEvent
}

/** Result of [KeyValueStore.list]. */
sealed interface ListResult {
    /** [revision] is the store's revision at the first page, from which a watch continues. */
    class Listed(
        val items: ImmutableList<StoreItem>,
        val revision: Long,
    ) : ListResult

    /** The store sent no usable answer. */
    class Unavailable(
        val detail: String,
    ) : ListResult
}

/** Result of [KeyValueStore.watch]. */
sealed interface WatchResult {
    /** Changes up to [revision]; may be empty. */
    class Changed(
        val events: ImmutableList<StoreEvent>,
        val revision: Long,
    ) : WatchResult

    /** The changes after the requested revision are no longer available. */
    data object HistoryCompacted : WatchResult

    /** The store sent no usable answer. */
    class Unavailable(
        val detail: String,
    ) : WatchResult
}

/** An atomic change that applies only if each key in [conditions] has the given revision; 0 means no item. */
class StoreChange(
    val conditions: ImmutableList<Condition> = persistentListOf(),
    val writes: ImmutableList<Write> = persistentListOf(),
    val removals: ImmutableList<String> = persistentListOf(),
) {
    /** Requires that [key] was last changed at [revision]. */
    class Condition(
        val key: String,
        val revision: Long,
    )

    /** Sets [key], bound to the lease [leaseId] unless it is 0. */
    class Write(
        val key: String,
        val value: ByteArray,
        val leaseId: Long = 0,
    )
}

/** Result of [KeyValueStore.commit]. */
sealed interface CommitResult {
    /** The change was applied at [revision]. */
    class Committed(
        val revision: Long,
    ) : CommitResult

    /** A condition does not hold; [items] are the current items of the conditions. */
    class Conflict(
        val items: ImmutableList<StoreItem>,
    ) : CommitResult

    /** The lease of a write has ended. */
    data object LeaseEnded : CommitResult

    /** The store sent no usable answer; if [mayHaveApplied], the change may have been applied or may still be. */
    class Unavailable(
        val detail: String,
        val mayHaveApplied: Boolean = true,
    ) : CommitResult
}

/** Result of granting or renewing a lease. */
sealed interface LeaseResult {
    /** The lease is valid for [lifetimeMillis]. */
    class Granted(
        val leaseId: Long,
        val lifetimeMillis: Long,
    ) : LeaseResult

    /** The lease has ended. */
    data object Ended : LeaseResult

    /** The store sent no usable answer. */
    class Unavailable(
        val detail: String,
    ) : LeaseResult
}
