package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.fleet.store.CommitResult
import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.fleet.store.LeaseResult
import io.jackdawring.fleet.store.StoreChange
import io.jackdawring.fleet.store.StoreItem
import kotlinx.collections.immutable.persistentListOf

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/** Keeps this instance registered as a member in the store, under a lease; confined to the control thread. */
internal class MemberRegistration(
    private val self: FleetMember,
    private val store: KeyValueStore,
    private val loop: ControlLoop,
    private val onRegistered: (StoreItem) -> Unit,
) {
    private var leaseId: Long? = null
    private var busy = false
    private var nextAttemptMillis = 0L

    /** Renews the lease or writes the member entry if it is due; [cached] is the entry in the store mirror. */
    fun maintain(cached: StoreItem?) {
        val now = loop.nowMillis()
        if (busy || now < nextAttemptMillis) return
        nextAttemptMillis = now + RENEWAL_INTERVAL_MILLIS
        val lease = leaseId
        busy = true
        when {
            lease == null -> store.grantLease(LIFETIME_MILLIS, ::onLease)
            cached == null || !cached.value.contentEquals(self.encode()) -> write(lease)
            else -> store.renewLease(lease, ::onLease)
        }
    }

    private fun onLease(result: LeaseResult) {
        busy = false
        when (result) {
            is LeaseResult.Granted -> {
                val isNew = leaseId != result.leaseId
                leaseId = result.leaseId
                if (isNew) write(result.leaseId)
            }

            is LeaseResult.Ended -> {
                logger.info { "lease of the member entry has expired; registering again" }
                leaseId = null
                retrySoon()
            }

            is LeaseResult.Unavailable -> {
                logger.debug { "renewal of the member lease failed: ${result.detail}" }
                retrySoon()
            }
        }
    }

    private fun write(lease: Long) {
        busy = true
        val key = FleetKeys.member(self.instanceId.value)
        val value = self.encode()
        store.commit(StoreChange(writes = persistentListOf(StoreChange.Write(key, value, lease)))) { result ->
            busy = false
            when (result) {
                is CommitResult.Committed -> {
                    onRegistered(StoreItem(key, value, result.revision, lease))
                }

                is CommitResult.LeaseEnded -> {
                    leaseId = null
                    retrySoon()
                }

                is CommitResult.Conflict, is CommitResult.Unavailable -> {
                    retrySoon()
                }
            }
        }
    }

    private fun retrySoon() {
        nextAttemptMillis = loop.nowMillis() + RETRY_MILLIS
    }

    private companion object {
        /** Allows for several failed renewals; peers detect a failed instance by pings long before it expires. */
        const val LIFETIME_MILLIS = 10_000L
        const val RENEWAL_INTERVAL_MILLIS = 3_000L
        const val RETRY_MILLIS = 300L
    }
}
