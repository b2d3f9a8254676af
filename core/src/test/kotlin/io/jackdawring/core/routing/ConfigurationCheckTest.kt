package io.jackdawring.core.routing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

class ConfigurationCheckTest {
    private val route = QueueRoute("q", "h", "/p/", "s", 1_500, 500, 0, 4, 1.6)
    private val other = route.copy(name = "r", prefix = "/r/")

    private fun configuration(
        vararg routes: QueueRoute,
        version: Long = 2,
    ) = RoutingConfiguration(version, routes.toList().toImmutableList())

    private class Case(
        val name: String,
        val configuration: RoutingConfiguration,
        vararg val expected: ConfigurationFinding,
    )

    private fun tooLow(
        field: RouteField,
        value: Number,
        bound: Int,
        isExclusive: Boolean = false,
    ) = ConfigurationFinding.LimitTooLow("q", field, value, bound, isExclusive)

    private val cases =
        listOf(
            Case("no fault", configuration(route, other)),
            Case("version in force", configuration(route, version = 1), ConfigurationFinding.VersionNotAbove(1, 1)),
            Case("older version", configuration(route, version = 0), ConfigurationFinding.VersionNotAbove(0, 1)),
            Case("same name", configuration(route, other.copy(name = "q")), ConfigurationFinding.DuplicateRoute("q")),
            Case(
                "same host and prefix",
                configuration(route, other.copy(prefix = "/p/")),
                ConfigurationFinding.HiddenRoute("r", "q"),
            ),
            Case("same prefix, other host", configuration(route, other.copy(host = "g", prefix = "/p/"))),
            Case("longer prefix after", configuration(route, other.copy(prefix = "/p/0/"))),
            Case("shorter prefix after", configuration(route, other.copy(prefix = "/"))),
            Case(
                "host with a port",
                configuration(route.copy(host = "h:80")),
                ConfigurationFinding.HostWithPort("q", "h:80"),
            ),
            Case(
                "empty prefix",
                configuration(route.copy(prefix = "")),
                ConfigurationFinding.PrefixWithoutSlash("q", ""),
            ),
            Case(
                "service that is not listed",
                configuration(route, other.copy(service = "t")),
                ConfigurationFinding.UnlistedService("r", "t"),
            ),
            Case("no route", configuration(), ConfigurationFinding.ServiceWithoutRoute("s")),
            Case(
                "no timeout",
                configuration(route.copy(timeoutMillis = 0)),
                tooLow(RouteField.TIMEOUT_MILLIS, 0L, 0, true),
            ),
            Case("timeout equal to objective", configuration(route.copy(timeoutMillis = 500))),
            Case(
                "timeout below objective",
                configuration(route.copy(timeoutMillis = 499)),
                ConfigurationFinding.TimeoutBelowObjective("q", 499, 500),
            ),
            Case(
                "negative objective",
                configuration(route.copy(baseObjectiveMillis = -1)),
                tooLow(RouteField.BASE_OBJECTIVE_MILLIS, -1L, 0),
            ),
            Case("negative priority", configuration(route.copy(priority = -1)), tooLow(RouteField.PRIORITY, -1, 0)),
            Case("no attempt", configuration(route.copy(maxAttempts = 0)), tooLow(RouteField.MAX_ATTEMPTS, 0, 1)),
            Case("no stretch", configuration(route.copy(stretch = 0.0)), tooLow(RouteField.STRETCH, 0.0, 0, true)),
        )

    /** Guards against faults that are not found, and against routes in use that are reported as hidden. */
    @TestFactory
    fun `problems of a configuration`() =
        cases.map { case ->
            dynamicTest(case.name) {
                val found = ConfigurationCheck.findProblems(case.configuration, persistentSetOf("s"), 1)
                assertEquals(case.expected.toList(), found.toList())
            }
        }

    /** Guards against a "never matches" that contradicts the routing of the instances. */
    @TestFactory
    fun `a route is hidden if no path reaches it`() =
        cases.flatMap { it.configuration.queues.map { route -> it to route } }.map { (case, route) ->
            dynamicTest("${case.name}: ${route.name} ${route.prefix}") {
                val isHidden =
                    case.configuration.findQueue(route.host, route.prefix + "0123456789abcdef") !== route
                assertEquals(isHidden, case.expected.any { it == ConfigurationFinding.HiddenRoute(route.name, "q") })
            }
        }

    /** Guards against services that are reported although the configuration lists none, or no version to compare. */
    @Test
    fun `services and versions are checked only if they are given`() {
        assertEquals(persistentListOf(), ConfigurationCheck.findProblems(configuration(route, version = 0)))
    }

    /** Guards against changes that an operator does not see before sending a configuration. */
    @Test
    fun `differences from the version in force`() {
        val new = configuration(other.copy(timeoutMillis = 9, stretch = 2.0), route.copy(name = "n"))
        assertEquals(
            listOf(
                RouteDifference.Added("n"),
                RouteDifference.Removed("q"),
                RouteDifference.Changed(
                    "r",
                    persistentListOf(
                        ChangedField(RouteField.TIMEOUT_MILLIS, 1_500L, 9L),
                        ChangedField(RouteField.STRETCH, 1.6, 2.0),
                    ),
                ),
            ),
            ConfigurationDiff.compare(configuration(route, other), new).toList(),
        )
    }
}
