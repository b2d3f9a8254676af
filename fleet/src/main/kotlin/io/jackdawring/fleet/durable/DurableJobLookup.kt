package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.fleet.store.ListResult
import io.jackdawring.fleet.store.StoreItem

/**
 * One query for the state of a durable job, which is cancelled first if [cancel] is set; confined to the control thread.
 *
 * The job may move to another shard between any two steps. It is reported as unknown only if it has no location, or if
 * its record is missing in a shard that the location names before and after that.
 */
internal class DurableJobLookup(
    private val id: JobId,
    private val cancel: Boolean,
    private val loop: ControlLoop,
    private val client: DurableJobClient,
    private val store: KeyValueStore,
    private val onAnswer: (CallerAnswer) -> Unit,
) {
    /** The shard that has the job since the store's [revision]. */
    private class Location(
        val shardId: ShardId,
        val revision: Long,
    )

    private var answered = false

    /** Answers of local holders, which are asked before the location is read. */
    private val localAnswers = HashMap<ShardId, DurableJobClient.StateAnswer>()

    fun start() {
        loop.schedule(ANSWER_LIMIT_MILLIS) { tryLater("the job's holder or the store is slow") }
        queryLocal(client.localShards)
    }

    private fun queryLocal(shardIds: List<ShardId>) {
        val first = shardIds.firstOrNull() ?: return locate()
        query(first, isStored = false) { answer ->
            localAnswers[first] = answer
            queryLocal(shardIds.drop(1))
        }
    }

    /** Queries the holder of [shardId]; calls [onUnknown] unless it knows the job. */
    private fun query(
        shardId: ShardId,
        isStored: Boolean,
        onUnknown: (DurableJobClient.StateAnswer) -> Unit,
    ) {
        val holding = client.holding(shardId) ?: return onUnknown(DurableJobClient.StateAnswer.Unreachable)
        client.queryState(holding, id, cancel, isStored) { reply ->
            val state = (reply as? DurableJobClient.StateAnswer.Known)?.state
            if (state == null) onUnknown(reply) else answer(CallerAnswer.State(state))
        }
    }

    private fun locate() = read(JobKeys.location(id)) { item, _ -> onLocated(item) }

    private fun onLocated(item: StoreItem?) {
        val location = item?.let { JobLocation.decode(it) }
        when {
            item == null -> answer(CallerAnswer.UnknownJob)
            location == null -> tryLater("the job's location is not valid")
            else -> queryHolder(Location(location.shardId, item.revision))
        }
    }

    private fun queryHolder(location: Location) {
        val localAnswer = localAnswers.remove(location.shardId)
        if (localAnswer != null) {
            readRecord(location, localAnswer)
        } else {
            query(location.shardId, isStored = false) { readRecord(location, it) }
        }
    }

    private fun readRecord(
        location: Location,
        holderAnswer: DurableJobClient.StateAnswer,
    ) = read(JobKeys.record(location.shardId, id)) { item, revision ->
        val state = item?.let { DurableJobRecord.decode(it) }?.progress?.state
        when {
            item == null -> checkLocation(location, revision)
            state == null -> tryLater("the job's record is not valid")
            !cancel || state.isEnded -> answer(CallerAnswer.State(state))
            holderAnswer is DurableJobClient.StateAnswer.Known ->
                query(location.shardId, isStored = true) { locateAgain() }
            else -> tryLater("the holder of the job does not answer")
        }
    }

    /** Reads the location again, after the job's record was missing in [location] at the store's [missingAtRevision]. */
    private fun checkLocation(
        location: Location,
        missingAtRevision: Long,
    ) = read(JobKeys.location(id)) { item, revision ->
        val isOutdated = missingAtRevision < location.revision || revision < missingAtRevision
        when {
            item == null -> answer(CallerAnswer.UnknownJob)
            item.revision > location.revision -> onLocated(item)
            // The store may return stale reads, which prove nothing.
            isOutdated || item.revision < location.revision -> locateAgain()
            else -> answer(CallerAnswer.UnknownJob)
        }
    }

    private fun locateAgain() = loop.schedule(RETRY_MILLIS, ::locate)

    /** Reads [key] unless the caller has been answered; [onRead] receives its item and the store's revision. */
    private fun read(
        key: String,
        onRead: (item: StoreItem?, revision: Long) -> Unit,
    ) {
        if (answered) return
        store.list(key) { result ->
            when (result) {
                is ListResult.Unavailable -> tryLater("the store is not available: ${result.detail}")
                is ListResult.Listed -> onRead(result.items.firstOrNull { it.key == key }, result.revision)
            }
        }
    }

    private fun tryLater(reason: String) = answer(CallerAnswer.TryLater(reason, RETRY_AFTER_MILLIS))

    private fun answer(answer: CallerAnswer) {
        if (answered) return
        answered = true
        onAnswer(answer)
    }

    private companion object {
        /** Shorter than the usual timeout of callers; a cancellation is stored in tens of milliseconds. */
        const val ANSWER_LIMIT_MILLIS = 1_200L

        /** Limits the calls for a job whose holder has not loaded its records, or whose reads are outdated. */
        const val RETRY_MILLIS = 200L

        /** About the duration of a take-over. */
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
