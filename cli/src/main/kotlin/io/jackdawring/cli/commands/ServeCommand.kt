package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.SettingTable
import io.jackdawring.cli.settings.toServerOptions
import io.jackdawring.server.EntryServer
import io.jackdawring.server.logging.LogFormat
import io.jackdawring.server.logging.configureLogging
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Runs an entry instance until SIGTERM, then drains it. */
internal class ServeCommand :
    Command(
        "serve",
        "run an entry instance",
        "JACKDAWRING_SESSION_KEYS=k1:00112233445566778899aabbccddeeff jackdawring serve --instance-id e1 " +
            "--failure-domain a --platform 127.0.0.1:7400 --operator-listen 127.0.0.1:7412",
        SettingTable.serve,
    ) {
    override val configuresLogging: Boolean get() = true

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        val options = settings.toServerOptions()
        configureLogging(LogFormat.valueOf(settings.text(SettingTable.logFormat).uppercase()))
        val server = context.components.startEntry(options)
        context.out.println("callers ${server.callerAddress}")
        context.out.println("peers ${server.peerAddress}")
        server.operatorAddress?.let { context.out.println("operators $it") }
        val limitMillis = settings.long(SettingTable.drainTimeoutMillis)
        return context.lifecycle.runUntilShutdown { drain(server, limitMillis, context) }
    }

    private fun drain(
        server: EntryServer,
        limitMillis: Long,
        context: CommandContext,
    ): ExitCode {
        val drained = CountDownLatch(1)
        server.drain { drained.countDown() }
        val complete = drained.await(limitMillis, TimeUnit.MILLISECONDS)
        server.close()
        if (!complete) {
            context.err.println("jackdawring serve: not drained within $limitMillis ms; open requests were aborted")
        }
        return if (complete) ExitCode.OK else ExitCode.FAILED
    }
}
