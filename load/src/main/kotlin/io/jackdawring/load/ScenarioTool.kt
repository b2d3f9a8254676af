package io.jackdawring.load

import io.jackdawring.core.TargetPolicy
import io.jackdawring.server.EntryServer
import io.jackdawring.server.http.HttpTransport
import io.jackdawring.standins.realTimers
import java.io.PrintStream
import java.util.Locale

/**
 * Runs each combination of deployment, scenario and policy on a fleet of its own in this process and prints a table.
 *
 * Returns 0 if all fleets became ready, no answer was wrong and no task started twice, else 1.
 */
fun runScenarios(
    options: ScenarioOptions,
    out: PrintStream,
): Int = runScenarios(options, out, EntryServer.Default)

internal fun runScenarios(
    options: ScenarioOptions,
    out: PrintStream,
    entryServers: EntryServer.Factory,
): Int {
    if (options.jvmWarmUpMillis > 0) {
        ScenarioRun(
            options.jvmWarmUpMillis,
            options.seed,
            options.deployments.first(),
            Scenario.USUAL,
            options.policies.first(),
        ).run(entryServers)
    }
    out.println(TABLE_HEAD)
    var correct = true
    for (deployment in options.deployments) {
        for (scenario in options.scenarios) {
            for (policy in options.policies) {
                val report =
                    ScenarioRun(
                        options.durationMillis,
                        options.seed,
                        deployment,
                        scenario,
                        policy,
                    ).run(entryServers)
                val name = ROW_NAME.format(deployment.name.lowercase(), scenario.label, policyName(policy))
                out.println(name + (report?.let(::row) ?: "the fleet did not become ready"))
                correct = correct && report != null && report.correct
            }
        }
    }
    out.println(
        "top: class with the highest priority; mean, p99: response time over the ideal; wasted: messages per task; " +
            "double: tasks started twice",
    )
    return if (correct) 0 else 1
}

/** One combination of deployment, scenario and policy. */
internal class ScenarioRun(
    private val durationMillis: Long,
    private val seed: Long,
    private val deployment: Deployment,
    private val scenario: Scenario,
    private val policy: TargetPolicy,
) {
    /** Report of the load, or null if the fleet did not become ready. */
    fun run(entryServers: EntryServer.Factory): LoadReport? =
        HttpTransport(TARGET_THREADS, "standins").use { transport ->
            LocalFleet(fleetOptions(), transport, entryServers).use { fleet ->
                if (fleet.awaitReady(READY_LIMIT_MILLIS) == null) runOn(fleet) else null
            }
        }

    private fun runOn(fleet: LocalFleet): LoadReport =
        HttpTransport(LOAD_THREADS, "load").use { transport ->
            transport.client().use { client ->
                realTimers().use { timers ->
                    scenario.beforeLoad(fleet)
                    val load = loadOptions(fleet)
                    val callers = CallerClient(client, timers, load.callerOneWayMillis)
                    // On a separate thread, because closing an entry instance blocks and would delay the timers.
                    timers.schedule(durationMillis / 2) { Thread { scenario.atMidpoint(fleet) }.start() }
                    LoadRun(load, callers, timers, LocalTargetReadings(fleet.targets)).run()
                }
            }
        }

    private fun fleetOptions() =
        fleetOptions {
            failureDomains = deployment.failureDomains
            entriesPerDomain = deployment.entriesPerDomain
            targets = Deployment.TARGETS
            slots = Deployment.SLOTS
            connections = Deployment.CONNECTIONS
            documents = listOf(deployment.document)
            targetPolicy = policy
            targetModes = scenario::targetModes
            domainOneWayMillis = Deployment.DOMAIN_ONE_WAY_MILLIS
        }

    private fun loadOptions(fleet: LocalFleet) =
        loadOptions {
            entries = fleet.entries.map { it.callerAddress }
            service = deployment.service
            classes = deployment.classes
            pattern = LoadPattern.OpenLoop(jobsPerSecond())
            durationMillis = this@ScenarioRun.durationMillis
            warmUpMillis = durationMillis / WARM_UP_DIVISOR
            callers = CALLERS
            tasksPerJob = TASKS_PER_JOB
            callerOneWayMillis = deployment.callerOneWayMillis
            seed = this@ScenarioRun.seed
        }

    private fun jobsPerSecond(): Double {
        val tasksPerSecond = scenario.loadFactor * Deployment.capacityTasksPerSecond(RunTimes())
        return tasksPerSecond / TASKS_PER_JOB.average()
    }

    private companion object {
        const val TARGET_THREADS = 4
        const val LOAD_THREADS = 2
        const val READY_LIMIT_MILLIS = 15_000L
        const val WARM_UP_DIVISOR = 5
        const val CALLERS = 64
        val TASKS_PER_JOB = 1..8
    }
}

private const val ROW_NAME = "%-10s %-26s %-15s "

private val TABLE_HEAD =
    ROW_NAME.format("deployment", "scenario", "policy") +
        "%8s %8s %8s %8s %8s %9s %8s %7s %7s %9s %6s %6s".format(
            "top mean",
            "top p99",
            "mean",
            "max p99",
            "wasted",
            "complete",
            "refused",
            "failed",
            "unknown",
            "no answer",
            "wrong",
            "double",
        )

private fun policyName(policy: TargetPolicy): String = policy.toString().substringAfterLast('.').substringBefore('@')

private fun row(report: LoadReport): String {
    val top = report.classes.first().slowdown
    val answers = report.classes.sumOf { it.slowdown.answers }
    val mean = report.classes.sumOf { it.slowdown.mean * it.slowdown.answers } / answers.coerceAtLeast(1)
    val count = { answer: JobAnswer -> report.classes.sumOf { it.answers[answer] ?: 0 } }
    return "%8.3f %8.3f %8.3f %8.3f %8.4f %9d %8d %7d %7d %9d %6d %6d".format(
        Locale.ROOT,
        top.mean,
        top.p99,
        mean,
        report.classes.maxOf { it.slowdown.p99 },
        report.wastedPerTask ?: 0.0,
        count(JobAnswer.COMPLETE),
        count(JobAnswer.REFUSED),
        count(JobAnswer.FAILED),
        count(JobAnswer.UNKNOWN),
        count(JobAnswer.NO_ANSWER) + count(JobAnswer.NOT_SENT),
        count(JobAnswer.WRONG),
        report.doubleStarts ?: 0,
    )
}
