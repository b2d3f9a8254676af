package io.jackdawring.cli

import io.jackdawring.server.EntryServer
import io.jackdawring.server.ServerOptions
import java.io.PrintStream

/** The parts that this binary contains; the others answer with a usage error. */
internal object RealComponents : Components {
    override fun startEntry(options: ServerOptions): EntryServer = missing("the entry server")

    override fun startPlatform(listen: String): Running = missing("the stand-in platform")

    override fun startTarget(options: TargetStandinOptions): Running = missing("the stand-in target")

    override fun runLoad(
        options: LoadOptions,
        out: PrintStream,
    ): Boolean = missing("the load tool")

    override fun runDemo(out: PrintStream): Int = missing("the demo")

    private fun missing(part: String): Nothing = throw UsageException("this binary does not contain $part")
}
