package io.jackdawring.standins

import kotlinx.serialization.Serializable

/** One accepted start in the log of a target; [task] is the `Jackdaw-Task` header, [unixMillis] the wall-clock time. */
@Serializable
data class TaskStart(
    val task: String,
    val target: String,
    val unixMillis: Long,
)

/**
 * Tasks in [logs] that started more than once, with the number of starts.
 *
 * Tasks are identified by `<submission>/<index>`, the end of their names: a submission sent in two sessions is the same
 * one to its caller, so submission ids must be unique in [logs].
 */
fun doubleStarts(logs: Iterable<TaskStart>): Map<String, Int> =
    logs
        .groupingBy { start ->
            start.task
                .split('/')
                .takeLast(2)
                .joinToString("/")
        }.eachCount()
        .filterValues { it > 1 }
