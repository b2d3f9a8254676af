package io.jackdawring.core.routing

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** How the route with the name [route] differs from the configuration in force. */
sealed interface RouteDifference {
    val route: String

    data class Added(
        override val route: String,
    ) : RouteDifference

    data class Removed(
        override val route: String,
    ) : RouteDifference

    data class Changed(
        override val route: String,
        val fields: ImmutableList<ChangedField>,
    ) : RouteDifference
}

data class ChangedField(
    val field: RouteField,
    val before: Any,
    val after: Any,
)

/** Compares configurations route by route. */
object ConfigurationDiff {
    /** Added, removed and changed routes, in this order; of routes with the same name, the first one counts. */
    fun compare(
        inForce: RoutingConfiguration,
        new: RoutingConfiguration,
    ): ImmutableList<RouteDifference> {
        val before = firstByName(inForce)
        val after = firstByName(new)
        return buildList {
            (after.keys - before.keys).forEach { add(RouteDifference.Added(it)) }
            (before.keys - after.keys).forEach { add(RouteDifference.Removed(it)) }
            after.forEach { (name, route) ->
                val fields = before[name]?.let { changedFields(it, route) }.orEmpty()
                if (fields.isNotEmpty()) add(RouteDifference.Changed(name, fields.toImmutableList()))
            }
        }.toImmutableList()
    }

    private fun changedFields(
        before: QueueRoute,
        after: QueueRoute,
    ) = RouteField.entries
        .map { ChangedField(it, it.read(before), it.read(after)) }
        .filter { it.before != it.after }

    private fun firstByName(configuration: RoutingConfiguration) =
        configuration.queues.distinctBy { it.name }.associateBy { it.name }
}
