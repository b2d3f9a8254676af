package io.jackdawring.cli

import io.jackdawring.load.LoadOptions
import io.jackdawring.load.ScenarioOptions
import io.jackdawring.load.bench.BenchOptions
import io.jackdawring.server.EntryServer
import io.jackdawring.server.ServerOptions
import io.jackdawring.server.http.HttpTransport
import io.jackdawring.standins.standInPlatformOptions
import io.jackdawring.standins.standInTargetOptions
import io.jackdawring.standins.startStandInPlatform
import io.jackdawring.standins.startStandInTarget
import java.io.PrintStream

/** The production parts. */
internal object RealComponents : Components {
    override fun startEntry(options: ServerOptions): EntryServer = starting { EntryServer.Default.start(options) }

    override fun startPlatform(listen: String): Running {
        val transport = HttpTransport()
        val platform =
            starting {
                startStandInPlatform(
                    standInPlatformOptions { this.listen = listen },
                    transport,
                )
            }
        return Running(platform.address) {
            platform.close()
            transport.close()
        }
    }

    override fun startTarget(options: TargetStandinOptions): Running {
        val transport = HttpTransport()
        val targetOptions =
            standInTargetOptions(options.id, options.failureDomain) {
                listen = options.listen
                platformAddress = options.platform
                slots = options.slots
                connections = options.connections
                services = options.services
            }
        val target = starting { startStandInTarget(targetOptions, transport) }
        return Running(target.address) {
            target.close()
            transport.close()
        }
    }

    override fun runLoad(
        options: LoadOptions,
        out: PrintStream,
    ): Int = io.jackdawring.load.runLoad(options, out)

    override fun runBench(
        options: BenchOptions,
        out: PrintStream,
    ): Int =
        io.jackdawring.load.bench
            .runBench(options, out)

    override fun runScenarios(
        options: ScenarioOptions,
        out: PrintStream,
    ): Int = io.jackdawring.load.runScenarios(options, out)

    override fun runDemo(out: PrintStream): Int = io.jackdawring.load.runDemo(out)

    /**
     * Listeners that cannot bind fail with [IllegalStateException], unusable TLS files with [IllegalArgumentException];
     * a stack trace would not help the user.
     */
    private inline fun <T> starting(start: () -> T): T =
        try {
            start()
        } catch (e: IllegalStateException) {
            throw StartException(e.message ?: "the listener could not be started")
        } catch (e: IllegalArgumentException) {
            throw StartException(e.message ?: "the listener could not be started")
        }
}
