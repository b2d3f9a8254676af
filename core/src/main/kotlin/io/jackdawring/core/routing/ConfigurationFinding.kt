package io.jackdawring.core.routing

enum class FindingSeverity {
    /** The configuration must not be sent. */
    ERROR,

    /** The configuration works, but may not do what was intended. */
    WARNING,
}

/** A problem of a configuration that was decoded. */
sealed class ConfigurationFinding(
    val severity: FindingSeverity,
) {
    /** Instances ignore a configuration whose version is not above [versionInForce]. */
    data class VersionNotAbove(
        val version: Long,
        val versionInForce: Long,
    ) : ConfigurationFinding(FindingSeverity.ERROR)

    data class DuplicateRoute(
        val route: String,
    ) : ConfigurationFinding(FindingSeverity.ERROR)

    /** [route] never matches because the earlier route [hiddenBy] has the same host and prefix. */
    data class HiddenRoute(
        val route: String,
        val hiddenBy: String,
    ) : ConfigurationFinding(FindingSeverity.ERROR)

    /** [route] never matches because the hosts of requests are compared without their ports. */
    data class HostWithPort(
        val route: String,
        val host: String,
    ) : ConfigurationFinding(FindingSeverity.ERROR)

    /** The path of a usual request begins with a slash, and the rest after the prefix must be a job id. */
    data class PrefixWithoutSlash(
        val route: String,
        val prefix: String,
    ) : ConfigurationFinding(FindingSeverity.WARNING)

    data class UnlistedService(
        val route: String,
        val service: String,
    ) : ConfigurationFinding(FindingSeverity.ERROR)

    data class ServiceWithoutRoute(
        val service: String,
    ) : ConfigurationFinding(FindingSeverity.WARNING)

    /** [bound] is the least allowed value, or, if [isExclusive], the one that the value must exceed. */
    data class LimitTooLow(
        val route: String,
        val field: RouteField,
        val value: Number,
        val bound: Int,
        val isExclusive: Boolean,
    ) : ConfigurationFinding(FindingSeverity.ERROR)

    /** Callers of [route] give up before the job is late. */
    data class TimeoutBelowObjective(
        val route: String,
        val timeoutMillis: Long,
        val baseObjectiveMillis: Long,
    ) : ConfigurationFinding(FindingSeverity.ERROR)
}
