package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobPart
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.TaskProgress
import io.jackdawring.fleet.peer.peerJson
import io.jackdawring.fleet.store.StoreItem
import kotlinx.serialization.Serializable

/** Tasks of a job that another shard has, by their keys "step.index". */
@Serializable
internal data class DelegatedTasks(
    val shardId: ShardId,
    val tasks: Set<String>,
)

/**
 * Store record of the tasks of a job of the shard [owner] that another shard runs.
 *
 * The holder of [owner] adds and removes tasks and sets [cancelled]; the holder of the other shard stores their progress
 * and the end of the part in [state]. The field [job] lets earlier versions of the program reject the record: they would
 * take one with a field `spec` for a whole job.
 */
@Serializable
internal data class PartRecord(
    val owner: ShardId,
    val job: JobSpec,
    val acceptedMillis: Long,
    val tasks: Map<String, Task>,
    val cancelled: Boolean = false,
    val state: JobState = JobState.RUNNING,
) {
    /** A task that is [returned] does not start in this shard any more. */
    @Serializable
    data class Task(
        val progress: TaskProgress,
        val returned: Boolean = false,
    )

    /** Whether the shard of the job has something to take back. */
    val hasResults: Boolean get() = state.isEnded || tasks.values.any { it.returned }

    /** What may start in this shard, apart from the tasks in [held]. */
    fun toJobPart(
        held: Set<String>,
        nowUnixMillis: Long,
        attemptBase: Int,
    ): JobPart {
        val startable = tasks.filter { (key, task) -> !task.returned && key !in held }.mapValues { it.value.progress }
        return JobPart(job, startable, maxOf(0, nowUnixMillis - acceptedMillis), attemptBase)
    }

    fun encode(): ByteArray = peerJson.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        /** The record in [item], or null if it is malformed. */
        fun decode(item: StoreItem): PartRecord? = decode(item, serializer())
    }
}

/** A change of the record of a part, which has [revision], 0 for none; without [record], it is removed. */
internal class PartChange(
    val shardId: ShardId,
    val revision: Long,
    val record: PartRecord?,
)

/** Is notified of the tasks that other shards run for this one, and of the parts that this shard runs. */
internal interface PartListener {
    /** The shard [target] has [tasks] of the job [id] now. */
    fun onDelegated(
        id: JobId,
        target: ShardId,
        tasks: Set<String>,
    )

    /** This shard has [tasks] of its job [id] again. */
    fun onReturned(
        id: JobId,
        tasks: Map<String, TaskProgress>,
    )

    /** A task of a part of the job [id] has failed for good. */
    fun onFailed(id: JobId)

    /** The parts of the job [id] were told to end. */
    fun onEnding(id: JobId)

    /** There is something to write for the job [id]. */
    fun onWriteNeeded(id: JobId)

    /** The tasks of [part] may start here, and no others of its job. */
    fun onPart(part: JobPart)

    /** The part of the job [id] must end; its end is then saved. */
    fun onPartCancelled(id: JobId)

    /** The shard of the job [id] has taken the whole part back. */
    fun onPartRemoved(id: JobId)
}
