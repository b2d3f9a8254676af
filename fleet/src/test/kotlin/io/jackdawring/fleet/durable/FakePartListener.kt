package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobPart
import io.jackdawring.core.shard.TaskProgress

/** Keeps what it is notified of. */
internal class FakePartListener : PartListener {
    val delegated = ArrayList<String>()
    val returned = HashMap<String, TaskProgress>()
    var startable = emptySet<String>()
    var isCancelled = false
    var isFailed = false
    var isRemoved = false

    /** What a dispatcher does when there is something to write, and when it has tasks again. */
    var onWriteNeeded: (JobId) -> Unit = {}
    var onReturned: () -> Unit = {}

    override fun onDelegated(
        id: JobId,
        target: ShardId,
        tasks: Set<String>,
    ) {
        delegated += tasks
    }

    override fun onReturned(
        id: JobId,
        tasks: Map<String, TaskProgress>,
    ) {
        returned += tasks
        onReturned()
    }

    override fun onFailed(id: JobId) {
        isFailed = true
    }

    override fun onEnding(id: JobId) = Unit

    override fun onWriteNeeded(id: JobId) = onWriteNeeded.invoke(id)

    override fun onPart(part: JobPart) {
        startable = part.tasks.keys
    }

    override fun onPartCancelled(id: JobId) {
        isCancelled = true
    }

    override fun onPartRemoved(id: JobId) {
        isRemoved = true
        startable = emptySet()
    }
}
