package io.jackdawring.core.routing

import kotlinx.collections.immutable.ImmutableList

/** One version of the queues that the operators have configured. */
class RoutingConfiguration(
    val version: Long,
    val queues: ImmutableList<QueueRoute>,
) {
    private val queuesByHost =
        queues.groupBy { it.host }.mapValues { (_, list) ->
            list.sortedByDescending { it.prefix.length }
        }

    /** The queue with the longest prefix of [path], or null. */
    fun findQueue(
        host: String,
        path: String,
    ): QueueRoute? = queuesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }
}
