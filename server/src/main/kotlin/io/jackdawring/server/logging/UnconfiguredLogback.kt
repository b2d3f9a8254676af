package io.jackdawring.server.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/**
 * Binds SLF4J to Logback without Logback's search for configuration files, which takes a large part of the start.
 *
 * [configureLogging] adds the appenders.
 */
class UnconfiguredLogback : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val mdc = LogbackMDCAdapter()

    override fun initialize() {
        context.name = "default"
        context.mdcAdapter = mdc
        context.start()
    }

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markers

    override fun getMDCAdapter(): MDCAdapter = mdc

    override fun getRequestedApiVersion(): String = REQUESTED_API_VERSION

    companion object {
        private const val REQUESTED_API_VERSION = "2.0.99"

        /** Selects this provider; call it before the first logger is created. */
        fun select() {
            System.setProperty("slf4j.provider", UnconfiguredLogback::class.java.name)
            // Otherwise SLF4J reports on standard error that it uses this provider.
            System.setProperty("slf4j.internal.verbosity", "WARN")
        }
    }
}
