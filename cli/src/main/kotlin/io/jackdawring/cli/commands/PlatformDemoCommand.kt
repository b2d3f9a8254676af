package io.jackdawring.cli.commands

import arrow.core.Either
import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.StartException
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.platform.PlatformInstance
import io.jackdawring.server.logging.LogFormat
import io.jackdawring.server.logging.LogOutput
import io.jackdawring.server.logging.configureLogging
import io.jackdawring.standins.platform.StandInSite
import org.kohsuke.args4j.Option

/** Runs two entry instances against stand-ins of the platform; the build also runs it to create the class archive. */
internal class PlatformDemoCommand :
    Command(
        "platform-demo",
        "run two entry instances against stand-ins of the platform on loopback",
        "jackdawring platform-demo",
    ) {
    @Option(name = "--logs", usage = "print the structured log lines of the entry instances")
    var logs: Boolean = false

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        if (logs) configureLogging(LogFormat.JSON, output = LogOutput.STANDARD_OUTPUT_BOUNDED)
        return runDemo(context)
    }

    private fun runDemo(context: CommandContext): ExitCode =
        StandInSite().use { site ->
            site.open()
            val completed = List(INSTANCES) { runInstance(site, "e$it") }.sum()
            context.out.println("$completed of ${INSTANCES * JOBS} jobs completed")
            if (completed == INSTANCES * JOBS) ExitCode.OK else ExitCode.FAILED
        }

    /** Starts an instance, sends its jobs and drains it. */
    private fun runInstance(
        site: StandInSite,
        name: String,
    ): Int {
        val addresses = site.newAddresses()
        val instance =
            when (val started = PlatformInstance.start(site.settings(name, addresses))) {
                is Either.Left -> throw StartException(started.value)
                is Either.Right -> started.value
            }
        return instance.use {
            site.awaitReady(addresses)
            List(JOBS) { job -> site.submit(addresses, name.hashCode() * JOBS + job) }.count { it == StandInSite.OK }
        }
    }

    private companion object {
        const val INSTANCES = 2
        const val JOBS = 20
    }
}
