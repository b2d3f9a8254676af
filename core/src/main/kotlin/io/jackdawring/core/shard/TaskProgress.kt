package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** What the next shard has to know of a task that it gets; attempts there are numbered above [lastAttempt]. */
@Serializable
data class TaskProgress(
    val lastAttempt: Int = 0,
    val failures: List<Int> = emptyList(),
    val checkpoint: Checkpoint? = null,
    val crashes: List<TargetCrash> = emptyList(),
)

/** The progress of the task with the key [task], whose last attempt so far is at least [lastAttempt]. */
fun JobProgress.ofTask(
    task: String,
    lastAttempt: Int,
) = TaskProgress(lastAttempt, failures[task].orEmpty(), checkpoints[task], crashes[task].orEmpty())

/** This progress with that of [tasks], which another shard has returned. */
fun JobProgress.withTasks(tasks: Map<String, TaskProgress>): JobProgress =
    copy(
        failures = failures + tasks.mapValues { it.value.failures }.filterValues { it.isNotEmpty() },
        checkpoints = checkpoints + tasks.mapNotNull { (key, task) -> task.checkpoint?.let { key to it } },
        crashes = crashes + tasks.mapValues { it.value.crashes }.filterValues { it.isNotEmpty() },
        attempts = attempts + tasks.mapValues { it.value.lastAttempt }.filterValues { it > 0 },
    )
