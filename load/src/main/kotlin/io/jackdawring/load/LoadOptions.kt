package io.jackdawring.load

/** Immutable settings of one load run. */
class LoadOptions private constructor(
    val entries: List<String>,
    val platformAddress: String?,
    val service: String,
    val classes: List<LoadClass>,
    val pattern: LoadPattern,
    val durationMillis: Long,
    val warmUpMillis: Long,
    val callers: Int,
    val balancing: Balancing,
    val tasksPerJob: IntRange,
    val runTimes: RunTimes,
    val deadlineMillis: Long,
    val resubmitPercent: Double,
    val resubmitAfterMillis: Long,
    val callerOneWayMillis: Long,
    val seed: Long,
    val json: Boolean,
) {
    /** Builds [LoadOptions]. */
    class Builder {
        /** Addresses of the entry instances' caller listeners, `ip:port`. */
        var entries: List<String> = emptyList()

        /** Stand-in platform that lists the stand-in targets from which counts and start logs are read, or null. */
        var platformAddress: String? = null
        var service: String = "orders"
        var classes: List<LoadClass> = listOf(LoadClass("allergen-check", 1.0))
        var pattern: LoadPattern = LoadPattern.OpenLoop(jobsPerSecond = 50.0)

        /** Time during which new jobs are sent. */
        var durationMillis: Long = 10_000

        /** Initial part of [durationMillis] in which response times are not recorded. */
        var warmUpMillis: Long = 0

        /** Number of sessions. */
        var callers: Int = 32
        var balancing: Balancing = Balancing.CONNECTIONS
        var tasksPerJob: IntRange = 1..4
        var runTimes: RunTimes = RunTimes()
        var deadlineMillis: Long = 10_000

        /** Share of jobs that are sent again through another entry instance, after [resubmitAfterMillis]. */
        var resubmitPercent: Double = 0.0
        var resubmitAfterMillis: Long = 100

        /** Simulated one-way latency between callers and entry instances. */
        var callerOneWayMillis: Long = 0
        var seed: Long = 1

        /** Whether the report is printed as JSON instead of text. */
        var json: Boolean = false

        fun build(): LoadOptions {
            require(entries.isNotEmpty()) { "the load needs the address of at least one entry instance" }
            require(classes.isNotEmpty()) { "the load needs at least one class" }
            require(callers > 0) { "the load needs at least one caller" }
            require(!tasksPerJob.isEmpty() && tasksPerJob.first > 0) { "a job has at least one task" }
            return LoadOptions(
                entries = entries.toList(),
                platformAddress = platformAddress,
                service = service,
                classes = classes.toList(),
                pattern = pattern,
                durationMillis = durationMillis,
                warmUpMillis = warmUpMillis,
                callers = callers,
                balancing = balancing,
                tasksPerJob = tasksPerJob,
                runTimes = runTimes,
                deadlineMillis = deadlineMillis,
                resubmitPercent = resubmitPercent,
                resubmitAfterMillis = resubmitAfterMillis,
                callerOneWayMillis = callerOneWayMillis,
                seed = seed,
                json = json,
            )
        }
    }
}

/** Builds [LoadOptions] from [block]; fails with [IllegalArgumentException] if an option is invalid. */
fun loadOptions(block: LoadOptions.Builder.() -> Unit): LoadOptions = LoadOptions.Builder().apply(block).build()

/** A class of jobs; [share] is its weight among all classes. */
class LoadClass(
    val kind: String,
    val share: Double,
)

/** Arrival pattern of the jobs. */
sealed interface LoadPattern {
    /** Poisson arrivals, regardless of response times. */
    data class OpenLoop(
        val jobsPerSecond: Double,
    ) : LoadPattern

    /** [concurrency] at a time; each answer is followed by the next job. */
    data class ClosedLoop(
        val concurrency: Int,
    ) : LoadPattern
}

/** How the load balancer in front of the entry instances distributes the traffic. */
enum class Balancing {
    /** Per connection: each caller uses one entry instance until it opens a new session. */
    CONNECTIONS,

    /** Per request, round-robin, regardless of which instance owns the session. */
    REQUESTS,
}

/**
 * Distribution of nominal run times: log-uniform between [minMillis] and [maxMillis], but uniform between
 * [longMinMillis] and [longMaxMillis] for [longPercent] of the tasks.
 */
class RunTimes(
    val minMillis: Long = 50,
    val maxMillis: Long = 1_000,
    val longPercent: Double = 1.0,
    val longMinMillis: Long = 2_000,
    val longMaxMillis: Long = 5_000,
) {
    /** Mean of the distribution. */
    fun meanMillis(): Double {
        val logarithm = kotlin.math.ln(maxMillis.toDouble() / minMillis)
        val short = if (logarithm == 0.0) minMillis.toDouble() else (maxMillis - minMillis) / logarithm
        val long = (longMinMillis + longMaxMillis) / 2.0
        return short + (long - short) * longPercent / PERCENT
    }

    internal companion object {
        const val PERCENT = 100.0
    }
}
