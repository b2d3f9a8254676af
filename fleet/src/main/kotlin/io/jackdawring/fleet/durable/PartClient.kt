package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobNeeds
import io.jackdawring.fleet.FleetDirectory
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerReply
import io.jackdawring.fleet.shard.ShardHost
import kotlinx.serialization.Serializable

/** Asks the holder of [shardId] for which of [needs], one task each, it has room now; room counts once. */
@Serializable
internal data class RoomMessage(
    val shardId: ShardId,
    val needs: List<JobNeeds>,
)

@Serializable
internal data class RoomReply(
    val hasRoom: List<Boolean>,
)

/** Tells the holder of [shardId] the revisions of its [parts] of jobs of another shard, 0 if not known. */
@Serializable
internal data class PartsMessage(
    val shardId: ShardId,
    val parts: Map<String, Long>,
)

/** The jobs whose parts have something for the shard of the job to take back. */
@Serializable
internal data class PartsReply(
    val withResults: List<String>,
)

/** Asks the holders of other shards about tasks that they run, or could run, for this one. */
internal interface PartClient {
    /** [onAnswers] gets, for each shard but [shardId] whose holder answered, for which of [needs] it has room. */
    fun queryRoom(
        shardId: ShardId,
        needs: List<JobNeeds>,
        onAnswers: (Map<ShardId, List<Boolean>>) -> Unit,
    )

    /** [onAnswer] gets the jobs whose parts in [target] have results, or null if its holder does not answer. */
    fun queryParts(
        target: ShardId,
        parts: Map<JobId, Long>,
        onAnswer: (List<JobId>?) -> Unit,
    )
}

/** Asks holders in this process or over the network. */
internal class PeerPartClient(
    private val directory: FleetDirectory,
    private val peers: PeerClient,
    private val localHost: (ShardId) -> ShardHost?,
) : PartClient {
    override fun queryRoom(
        shardId: ShardId,
        needs: List<JobNeeds>,
        onAnswers: (Map<ShardId, List<Boolean>>) -> Unit,
    ) {
        val others = directory.holdings.values.filter { it.shardId != shardId }
        val answers = HashMap<ShardId, List<Boolean>>()
        var open = others.size
        if (open == 0) onAnswers(answers)
        for (holding in others) {
            askRoom(holding, needs) { hasRoom ->
                if (hasRoom?.size == needs.size) answers[holding.shardId] = hasRoom
                if (--open == 0) onAnswers(answers)
            }
        }
    }

    private fun askRoom(
        holding: ShardHolding,
        needs: List<JobNeeds>,
        onRoom: (List<Boolean>?) -> Unit,
    ) {
        val host = localHost(holding.shardId)
        if (host != null) {
            onRoom(host.hasRoom(needs))
        } else {
            peers.queryRoom(holding.holder, RoomMessage(holding.shardId, needs)) { reply ->
                onRoom((reply as? PeerReply.Answered)?.message?.hasRoom)
            }
        }
    }

    override fun queryParts(
        target: ShardId,
        parts: Map<JobId, Long>,
        onAnswer: (List<JobId>?) -> Unit,
    ) {
        val host = localHost(target)
        val holding = directory.holdings[target]
        if (host != null) {
            onAnswer(host.partsWithResults(parts))
        } else if (holding == null) {
            onAnswer(null)
        } else {
            peers.queryParts(holding.holder, PartsMessage(target, parts.mapKeys { it.key.value })) { reply ->
                onAnswer((reply as? PeerReply.Answered)?.message?.withResults?.map(::JobId))
            }
        }
    }
}
