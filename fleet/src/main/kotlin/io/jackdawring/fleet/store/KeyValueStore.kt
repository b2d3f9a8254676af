package io.jackdawring.fleet.store

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** The platform's store; results arrive on the control thread, each exactly once. */
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

    /** Writes [change] if its conditions hold. */
    fun commit(
        change: StoreChange,
        onResult: (CommitResult) -> Unit,
    )

    /** Asks for a lease of [lifetimeMillis]. */
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

/** An item of the store; [leaseId] is 0 if it has none. */
class StoreItem(
    val key: String,
    val value: ByteArray,
    val revision: Long,
    val leaseId: Long = 0,
)

/** A change that was observed. */
sealed interface StoreEvent {
    val key: String

    /** The item was written. */
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
    /** [revision] is that of the store before the first page was read; a watch continues from it. */
    class Listed(
        val items: ImmutableList<StoreItem>,
        val revision: Long,
    ) : ListResult

    /** The store did not answer usably. */
    class Unavailable(
        val detail: String,
    ) : ListResult
}

/** Result of [KeyValueStore.watch]. */
sealed interface WatchResult {
    /** Changes up to [revision], perhaps none. */
    class Changed(
        val events: ImmutableList<StoreEvent>,
        val revision: Long,
    ) : WatchResult

    /** The history after the revision is no longer available. */
    data object HistoryLost : WatchResult

    /** The store did not answer usably. */
    class Unavailable(
        val detail: String,
    ) : WatchResult
}

/** A write that takes effect as a whole if each key in [conditions] has the given revision, 0 for none. */
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
    /** The change took effect at [revision]. */
    class Committed(
        val revision: Long,
    ) : CommitResult

    /** A condition does not hold; [items] are the present items of the conditions. */
    class Conflict(
        val items: ImmutableList<StoreItem>,
    ) : CommitResult

    /** The lease of a write has ended. */
    data object LeaseEnded : CommitResult

    /** The store did not answer usably; if it [mayHaveApplied] the change, that may also happen later. */
    class Unavailable(
        val detail: String,
        val mayHaveApplied: Boolean = true,
    ) : CommitResult
}

/** Result of asking for or renewing a lease. */
sealed interface LeaseResult {
    /** The lease is valid for [lifetimeMillis]. */
    class Granted(
        val leaseId: Long,
        val lifetimeMillis: Long,
    ) : LeaseResult

    /** The lease has ended. */
    data object Ended : LeaseResult

    /** The store did not answer usably. */
    class Unavailable(
        val detail: String,
    ) : LeaseResult
}
