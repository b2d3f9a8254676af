package io.jackdawring.standins

import kotlinx.serialization.Serializable

/** One accepted start in the log of a target; [task] is the `Jackdaw-Task` header, [unixMillis] the wall-clock time. */
@Serializable
data class TaskStart(
    val task: String,
    val target: String,
    val unixMillis: Long,
)

/** Number of starts of each task in [logs], for the tasks that started more than once. */
fun doubleStarts(logs: Iterable<TaskStart>): Map<String, Int> =
    logs.groupingBy { it.task }.eachCount().filterValues { it > 1 }
