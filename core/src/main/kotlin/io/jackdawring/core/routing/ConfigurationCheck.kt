package io.jackdawring.core.routing

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableList

/** Finds problems of a configuration before it is sent to the store. */
object ConfigurationCheck {
    /**
     * The problems of [configuration], those of routes in the order of the routes.
     *
     * Services are checked only if [services] is not null, and the version only if [versionInForce] is not null.
     */
    fun findProblems(
        configuration: RoutingConfiguration,
        services: ImmutableSet<String>? = null,
        versionInForce: Long? = null,
    ): ImmutableList<ConfigurationFinding> =
        buildList {
            if (versionInForce != null && configuration.version <= versionInForce) {
                add(ConfigurationFinding.VersionNotAbove(configuration.version, versionInForce))
            }
            val names = HashSet<String>()
            val firstRoutes = HashMap<Pair<String, String>, QueueRoute>()
            configuration.queues.forEach { route ->
                if (!names.add(route.name)) add(ConfigurationFinding.DuplicateRoute(route.name))
                val first = firstRoutes.getOrPut(route.host to route.prefix) { route }
                if (first !== route) add(ConfigurationFinding.HiddenRoute(route.name, first.name))
                addAll(findPatternProblems(route))
                if (services != null && route.service !in services) {
                    add(ConfigurationFinding.UnlistedService(route.name, route.service))
                }
                addAll(findLimitProblems(route))
            }
            val usedServices = configuration.queues.mapTo(HashSet()) { it.service }
            services?.filter { it !in usedServices }?.forEach { add(ConfigurationFinding.ServiceWithoutRoute(it)) }
        }.toImmutableList()

    private fun findPatternProblems(route: QueueRoute) =
        buildList {
            if (':' in route.host) add(ConfigurationFinding.HostWithPort(route.name, route.host))
            if (!route.prefix.startsWith('/')) {
                add(ConfigurationFinding.PrefixWithoutSlash(route.name, route.prefix))
            }
        }

    private fun findLimitProblems(route: QueueRoute): List<ConfigurationFinding> {
        fun tooLow(
            field: RouteField,
            value: Number,
            bound: Int,
            isExclusive: Boolean = false,
        ) = ConfigurationFinding.LimitTooLow(route.name, field, value, bound, isExclusive)
        return buildList {
            val timeout = route.timeoutMillis
            val objective = route.baseObjectiveMillis
            if (timeout <= 0) add(tooLow(RouteField.TIMEOUT_MILLIS, timeout, 0, isExclusive = true))
            if (objective < 0) add(tooLow(RouteField.BASE_OBJECTIVE_MILLIS, objective, 0))
            // A timeout that is not positive is reported once.
            if (timeout in 1..<objective) {
                add(ConfigurationFinding.TimeoutBelowObjective(route.name, timeout, objective))
            }
            if (route.priority < 0) add(tooLow(RouteField.PRIORITY, route.priority, 0))
            if (route.maxAttempts < 1) add(tooLow(RouteField.MAX_ATTEMPTS, route.maxAttempts, 1))
            if (route.stretch <= 0) add(tooLow(RouteField.STRETCH, route.stretch, 0, isExclusive = true))
        }
    }
}
