package io.jackdawring.cli

import java.util.concurrent.CountDownLatch

/** Keeps a server's process running until a signal stops it. */
fun interface ProcessLifecycle {
    /** Waits for SIGTERM or SIGINT, then calls [stop] and ends with its exit code. */
    fun runUntilShutdown(stop: () -> ExitCode): ExitCode
}

/** Stops through a JVM shutdown hook. */
internal object RealProcessLifecycle : ProcessLifecycle {
    override fun runUntilShutdown(stop: () -> ExitCode): ExitCode {
        // Without halt the JVM would exit with 143 after SIGTERM, which supervisors treat as a failure.
        val hook = Thread({ Runtime.getRuntime().halt(stop().code) }, "shutdown")
        Runtime.getRuntime().addShutdownHook(hook)
        CountDownLatch(1).await()
        return ExitCode.INTERNAL
    }
}
