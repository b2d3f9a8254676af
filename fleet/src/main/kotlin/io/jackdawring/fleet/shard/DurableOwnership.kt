package io.jackdawring.fleet.shard

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.CommitResult
import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.fleet.store.LeaseResult
import io.jackdawring.fleet.store.ListResult
import io.jackdawring.fleet.store.StoreChange
import kotlinx.collections.immutable.persistentListOf

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/**
 * Decides how long the holder in [holding] may run durable jobs; confined to the control thread.
 *
 * It may while a key under a lease names it in the store, and for [MAX_OUTAGE_MILLIS] longer while all other entry
 * instances confirm that they have not claimed the shard. All times are those of [PauseGuard.elapsedMillis].
 */
internal class DurableOwnership(
    private val holding: ShardHolding,
    /** Time of sending of the claim of the shard. */
    private val claimedAtMillis: Long,
    private val store: KeyValueStore,
    private val loop: ControlLoop,
    private val pauses: PauseGuard,
    /** Time at which the store was last asked for what the mirror of the holdings has by now; null before. */
    private val viewedAtMillis: () -> Long?,
    /** Asks all other entry instances; the result is whether each of them confirms this holder or has ended. */
    private val askPeers: (onResult: (Boolean) -> Unit) -> Unit,
) {
    private var neededUntilMillis = Long.MIN_VALUE
    private var leaseId: Long? = null

    /** Whether the key has been written with the lease [leaseId]. */
    private var isKeyWritten = false
    private var isCalling = false
    private var nextCallMillis = Long.MIN_VALUE

    /** Time of sending of the last request that granted or renewed the lease. */
    private var leasedAtMillis = NEVER_MILLIS

    /** Time of sending of the last questions that all peers answered with a confirmation. */
    private var confirmedAtMillis = NEVER_MILLIS

    /** Monotonic time at which no other holder had claimed the shard; null if that was never read or asked. */
    var unclaimedAtMillis: Long? = null
        private set
    private var isReading = false
    private var nextReadMillis = Long.MIN_VALUE
    private var isAsking = false
    private var nextQuestionMillis = Long.MIN_VALUE
    private var released = false
    private var wasValid = false

    private fun nowMillis() = pauses.elapsedMillis(loop.nowMillis())

    /** Time until which durable jobs may run; in the past if they may not. */
    val validUntilMillis: Long
        get() {
            val byStore = if (isKeyWritten && isViewFresh) leasedAtMillis + LEASE_USE_MILLIS else NEVER_MILLIS
            val byPeers = minOf(confirmedAtMillis + CONFIRMATION_USE_MILLIS, leasedAtMillis + MAX_OUTAGE_MILLIS)
            return maxOf(byStore, byPeers, claimedAtMillis + CLAIM_USE_MILLIS)
        }

    /** A holder whose watch is broken does not notice its successor, so it lets its lease end. */
    private val isViewFresh: Boolean
        get() = viewedAtMillis()?.let { loop.nowMillis() - it < MAX_VIEW_AGE_MILLIS } == true

    /** Keeps the ownership for a while, because there are durable jobs. */
    fun require() {
        neededUntilMillis = nowMillis() + IDLE_MILLIS
        maintain()
    }

    /** Renews what is due; does nothing unless the ownership is required. */
    fun maintain() {
        val now = nowMillis()
        if (released || now >= neededUntilMillis) return
        logChange(now < validUntilMillis)
        if (!isCalling && now >= nextCallMillis && (isViewFresh || leaseId == null)) callStore(now)
        val isStoreLate = leasedAtMillis != NEVER_MILLIS && now - leasedAtMillis >= STORE_LATE_MILLIS
        if (isStoreLate && !isAsking && now >= nextQuestionMillis) ask(now)
    }

    fun release() {
        released = true
    }

    private fun logChange(isValid: Boolean) {
        if (isValid == wasValid) return
        wasValid = isValid
        val name = FleetKeys.shard(holding.shardId)
        if (isValid) {
            logger.info { "$name: durable jobs may run" }
        } else {
            logger.warn { "$name: durable jobs may not run, neither the store nor all instances confirm the holder" }
        }
    }

    private fun callStore(now: Long) {
        isCalling = true
        nextCallMillis = now + RENEWAL_INTERVAL_MILLIS
        val lease = leaseId
        when {
            lease == null -> store.grantLease(LEASE_MILLIS) { onLease(it, now) }
            !isKeyWritten -> writeKey(lease)
            else -> store.renewLease(lease) { onLease(it, now) }
        }
    }

    private fun onLease(
        result: LeaseResult,
        sentAtMillis: Long,
    ) {
        isCalling = false
        when (result) {
            is LeaseResult.Granted -> {
                if (leaseId != result.leaseId) isKeyWritten = false
                leaseId = result.leaseId
                leasedAtMillis = sentAtMillis
                if (!isKeyWritten) callAgain(0)
            }
            is LeaseResult.Ended -> {
                leaseId = null
                isKeyWritten = false
                callAgain(0)
            }
            is LeaseResult.Unavailable -> callAgain(RETRY_MILLIS)
        }
    }

    /** The condition keeps a former holder from writing the key after another one has claimed the shard. */
    private fun writeKey(lease: Long) {
        val shard = FleetKeys.shard(holding.shardId)
        val condition = StoreChange.Condition(shard, holding.revision)
        val key = FleetKeys.ownership(holding.shardId, holding.revision)
        val value =
            holding.holder.instanceId.value
                .encodeToByteArray()
        val change =
            StoreChange(persistentListOf(condition), persistentListOf(StoreChange.Write(key, value, lease)))
        store.commit(change) { result ->
            isCalling = false
            when (result) {
                is CommitResult.Committed -> {
                    isKeyWritten = leaseId == lease
                    logger.debug { "ownership of $shard at revision ${holding.revision} is stored" }
                }
                is CommitResult.LeaseEnded -> {
                    leaseId = null
                    callAgain(0)
                }
                is CommitResult.Conflict, is CommitResult.Unavailable -> callAgain(RETRY_MILLIS)
            }
        }
    }

    private fun callAgain(delayMillis: Long) {
        nextCallMillis = nowMillis() + delayMillis
        if (delayMillis == 0L) maintain()
    }

    private fun ask(now: Long) {
        isAsking = true
        nextQuestionMillis = now + QUESTION_INTERVAL_MILLIS
        val askedAtMillis = loop.nowMillis()
        askPeers { confirmed ->
            isAsking = false
            if (!confirmed) return@askPeers
            confirmedAtMillis = now
            onUnclaimed(askedAtMillis)
        }
    }

    /** Reads whether the store still names this holder; the result is in [unclaimedAtMillis]. */
    fun confirm() {
        val now = nowMillis()
        if (released || isReading || now < nextReadMillis) return
        isReading = true
        nextReadMillis = now + RETRY_MILLIS
        val askedAtMillis = loop.nowMillis()
        val key = FleetKeys.shard(holding.shardId)
        store.list(key) { result ->
            isReading = false
            val item = (result as? ListResult.Listed)?.items?.firstOrNull { it.key == key }
            if (item?.revision == holding.revision) onUnclaimed(askedAtMillis)
        }
    }

    private fun onUnclaimed(atMillis: Long) {
        unclaimedAtMillis = maxOf(unclaimedAtMillis ?: atMillis, atMillis)
    }

    companion object {
        private const val NEVER_MILLIS = Long.MIN_VALUE / 2

        /** Lifetime of the key; a failure domain without a holder stays without durable runs for that long. */
        const val LEASE_MILLIS = 3_000L

        /** Time of a pause that is too short to be noticed. */
        private const val UNNOTICED_PAUSE_MILLIS = PauseGuard.MIN_PAUSE_MILLIS

        /** The rest allows for clocks that differ by 2%. */
        private const val LEASE_USE_MILLIS = LEASE_MILLIS - UNNOTICED_PAUSE_MILLIS - 100

        /** Leaves time for two further attempts before the lease counts as ended. */
        private const val RENEWAL_INTERVAL_MILLIS = 800L
        private const val RETRY_MILLIS = 200L

        /** A usual watch confirms the view every 2 to 4 s. */
        private const val MAX_VIEW_AGE_MILLIS = 6_000L

        /** Time without a renewal after which peers are asked; more than one renewal has failed then. */
        private const val STORE_LATE_MILLIS = 1_100L
        private const val QUESTION_INTERVAL_MILLIS = 400L

        /** Covers several rounds of questions. */
        private const val CONFIRMATION_USE_MILLIS = 2_000L

        /** Time for which no holder counts on a peer after its last question to it. */
        const val CONFIRMED_MILLIS = CONFIRMATION_USE_MILLIS + UNNOTICED_PAUSE_MILLIS + 100

        /**
         * Time after a claim, in which the stored jobs are loaded.
         *
         * No other instance suspects this one within 450 ms, and it then waits for a lease.
         */
        private const val CLAIM_USE_MILLIS = 300L

        /** Longer than the outages of the store that durable jobs have to bear. */
        const val MAX_OUTAGE_MILLIS = 15_000L

        /** Time for which the ownership is kept without durable jobs. */
        private const val IDLE_MILLIS = 5_000L
    }
}
