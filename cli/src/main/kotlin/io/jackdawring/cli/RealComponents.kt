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

/** Starts the real servers and tools in this process. */
internal object RealComponents : Components {
    override fun startEntry(options: ServerOptions): EntryServer = startOrFail { EntryServer.Default.start(options) }

    override fun startPlatform(listen: String): RunningServer {
        val transport = HttpTransport()
        val platform =
            startOrFail {
                startStandInPlatform(
                    standInPlatformOptions { this.listen = listen },
                    transport,
                )
            }
        return RunningServer(platform.address) {
            platform.close()
            transport.close()
        }
    }

    override fun startTarget(options: TargetStandinOptions): RunningServer {
        val transport = HttpTransport()
        val targetOptions =
            standInTargetOptions(options.id, options.failureDomain) {
                listen = options.listen
                platformAddress = options.platform
                slots = options.slots
                connections = options.connections
                services = options.services
            }
        val target = startOrFail { startStandInTarget(targetOptions, transport) }
        return RunningServer(target.address) {
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
     * Turns start failures into messages without a stack trace: listeners that cannot bind fail with
     * [IllegalStateException], unusable TLS files with [IllegalArgumentException].
     */
    private inline fun <T> startOrFail(start: () -> T): T =
        try {
            start()
        } catch (e: IllegalStateException) {
            throw StartException(e.message ?: "the listener could not be started")
        } catch (e: IllegalArgumentException) {
            throw StartException(e.message ?: "the listener could not be started")
        }
}
