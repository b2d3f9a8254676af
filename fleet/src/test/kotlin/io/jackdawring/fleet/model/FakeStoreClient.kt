package io.jackdawring.fleet.model

import io.jackdawring.fleet.store.CommitResult
import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.fleet.store.LeaseResult
import io.jackdawring.fleet.store.ListResult
import io.jackdawring.fleet.store.StoreChange
import io.jackdawring.fleet.store.WatchResult
import io.jackdawring.testing.VirtualClock
import kotlinx.collections.immutable.toImmutableList
import java.util.SplittableRandom

/** Connection of the entry instance [node] to the store. */
internal class FakeStoreClient(
    private val node: String,
    private val process: FakeProcess,
    private val store: FakeFleetStore,
    private val links: FakeLinks,
    private val clock: VirtualClock,
    private val random: SplittableRandom,
) : KeyValueStore {
    /** Calls [perform] at the store, and [onResult] with its result or with [unavailable]. */
    private fun <T> call(
        unavailable: T,
        refused: T = unavailable,
        timeoutMillis: Long = TIMEOUT_MILLIS,
        onResult: (T) -> Unit,
        perform: (respond: (T) -> Unit) -> Unit,
    ) {
        var completed = false
        val complete = { result: T ->
            if (!completed) {
                completed = true
                onResult(result)
            }
        }
        val respond = { result: T ->
            clock.schedule(latencyMillis()) {
                links.transmit(FakeLinks.STORE, node) { process.receive { complete(result) } }
            }
        }
        process.schedule(timeoutMillis) { complete(unavailable) }
        clock.schedule(latencyMillis()) {
            links.transmit(node, FakeLinks.STORE) { if (store.isDown) respond(refused) else perform(respond) }
        }
    }

    private fun latencyMillis() = random.nextLong(store.maxLatencyMillis)

    override fun list(
        prefix: String,
        onResult: (ListResult) -> Unit,
    ) = call<ListResult>(ListResult.Unavailable("no answer"), onResult = onResult) { respond ->
        val found =
            store.items.values
                .filter { it.key.startsWith(prefix) }
                .toImmutableList()
        respond(ListResult.Listed(found, store.revision))
    }

    override fun watch(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
        onResult: (WatchResult) -> Unit,
    ) = call<WatchResult>(
        WatchResult.Unavailable("no answer"),
        timeoutMillis = waitMillis + TIMEOUT_MILLIS,
        onResult = onResult,
    ) { respond -> store.watch(prefix, afterRevision, waitMillis, respond) }

    override fun commit(
        change: StoreChange,
        onResult: (CommitResult) -> Unit,
    ) = call<CommitResult>(
        CommitResult.Unavailable("no answer"),
        refused = CommitResult.Unavailable("down", mayHaveApplied = false),
        onResult = onResult,
    ) { respond ->
        when (store.fateOf(change)) {
            CommitFate.ANSWERED -> respond(store.commit(change))
            CommitFate.ANSWER_LOST -> store.commit(change)
            CommitFate.ANSWER_LATE -> {
                val result = store.commit(change)
                clock.schedule(LATE_ANSWER_MILLIS) { respond(result) }
            }
            CommitFate.APPLIED_LATE -> clock.schedule(APPLIED_LATE_MILLIS) { store.commit(change) }
        }
    }

    override fun grantLease(
        lifetimeMillis: Long,
        onResult: (LeaseResult) -> Unit,
    ) = call<LeaseResult>(LeaseResult.Unavailable("no answer"), onResult = onResult) { respond ->
        respond(LeaseResult.Granted(store.grantLease(lifetimeMillis), lifetimeMillis))
    }

    override fun renewLease(
        leaseId: Long,
        onResult: (LeaseResult) -> Unit,
    ) = call<LeaseResult>(LeaseResult.Unavailable("no answer"), onResult = onResult) { respond ->
        val lifetimeMillis = store.renewLease(leaseId)
        respond(lifetimeMillis?.let { LeaseResult.Granted(leaseId, it) } ?: LeaseResult.Ended)
    }

    private companion object {
        const val TIMEOUT_MILLIS = 1_000L

        /** Within the timeout, and later than callers of a write wait. */
        const val LATE_ANSWER_MILLIS = 900L
        const val APPLIED_LATE_MILLIS = 3_000L
    }
}
