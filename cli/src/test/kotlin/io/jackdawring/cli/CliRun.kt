package io.jackdawring.cli

import io.jackdawring.cli.client.ApiAnswer
import io.jackdawring.cli.client.ApiClient
import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.load.LoadOptions
import io.jackdawring.load.ScenarioOptions
import io.jackdawring.load.bench.BenchOptions
import io.jackdawring.server.EntryServer
import io.jackdawring.server.ServerOptions
import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** Exit code and output of one command line. */
internal class CliRun(
    val exitCode: ExitCode,
    val out: String,
    val err: String,
)

internal fun runCli(
    vararg arguments: String,
    environment: Map<String, String> = emptyMap(),
    input: String = "",
    components: FakeComponents = FakeComponents(),
    client: ApiClient = ApiClient { ApiAnswer.NotSent("no server") },
): CliRun {
    val out = ByteArrayOutputStream()
    val err = ByteArrayOutputStream()
    val context =
        CommandContext(
            PrintStream(out, true),
            PrintStream(err, true),
            input.byteInputStream(),
            environment,
            terminal = false,
            components = components,
            lifecycle = { stop -> stop() },
            client = client,
            clock = VirtualClock(),
        )
    val exitCode = CommandLine(commandFactories).run(arguments.toList(), context)
    return CliRun(exitCode, out.toString(), err.toString())
}

/** Records what subcommands start. */
internal class FakeComponents(
    private val drains: Boolean = true,
    private val succeeds: Boolean = true,
) : Components {
    var entryOptions: ServerOptions? = null
    var targetOptions: TargetStandinOptions? = null
    val closed = mutableListOf<String>()

    override fun startEntry(options: ServerOptions): EntryServer {
        entryOptions = options
        return FakeEntryServer(drains) { closed += "entry" }
    }

    override fun startPlatform(listen: String) = RunningServer(listen) { closed += "platform" }

    override fun startTarget(options: TargetStandinOptions): RunningServer {
        targetOptions = options
        return RunningServer(options.listen) { closed += "target" }
    }

    override fun runLoad(
        options: LoadOptions,
        out: PrintStream,
    ): Int = if (succeeds) 0 else 1

    override fun runBench(
        options: BenchOptions,
        out: PrintStream,
    ): Int = if (succeeds) 0 else 1

    override fun runScenarios(
        options: ScenarioOptions,
        out: PrintStream,
    ): Int = if (succeeds) 0 else 1

    override fun runDemo(out: PrintStream): Int = if (succeeds) 0 else 1
}

private class FakeEntryServer(
    private val drains: Boolean,
    private val onClose: () -> Unit,
) : EntryServer {
    override val callerAddress = "127.0.0.1:1"
    override val peerAddress = "127.0.0.1:2"
    override val operatorAddress: String? = null

    override fun snapshot(): InstanceSnapshot = error("not used")

    override fun drain(onComplete: () -> Unit) {
        if (drains) onComplete()
    }

    override fun close() = onClose()
}

/** A clock that advances only by sleeping. */
internal class VirtualClock : ProcessClock {
    private var nowMillis = 0L

    override fun nowMillis(): Long = nowMillis

    override fun sleep(millis: Long) {
        nowMillis += millis
    }
}
