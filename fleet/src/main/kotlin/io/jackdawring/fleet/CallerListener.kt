package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.server.http.HttpServer

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/**
 * Opens the listener for callers once jobs can be served, so that no caller reaches an instance that refuses it.
 *
 * A balancer that has no ready instance left sends its callers to any, where a closed listener costs them more time than
 * a wait for a holder that is presumably alive; readiness is reported only once the holder has answered.
 */
internal class CallerListener(
    private val loop: ControlLoop,
    private val canAccept: () -> Boolean,
    private val canServe: () -> Boolean,
    private val open: () -> HttpServer,
) {
    private val startedAtMillis = loop.nowMillis()

    /** Null until it is opened. */
    @Volatile
    var server: HttpServer? = null
        private set

    /** Whether the last attempt to open the listener failed. */
    private var isAddressInUse = false

    /** Whether callers are accepted and their jobs can be served. */
    val isReady: Boolean get() = server != null && canServe()

    /** Opens the listener if jobs can be served now; called after every change that may allow it. */
    fun openIfPossible() {
        if (server != null) return
        val ageMillis = loop.nowMillis() - startedAtMillis
        if (!canAccept() && ageMillis < STARTUP_LIMIT_MILLIS) return
        server = openOrNull() ?: return
        logger.info { "accepting callers $ageMillis ms after start" }
    }

    /** Null if the address is in use; the caller, which may be in the middle of taking a shard, must not fail for it. */
    private fun openOrNull(): HttpServer? =
        try {
            open().also { isAddressInUse = false }
        } catch (e: IllegalStateException) {
            if (!isAddressInUse) logger.error { "cannot accept callers yet, trying again: ${e.message}" }
            isAddressInUse = true
            null
        }

    private companion object {
        /** After this time, an instance that cannot serve jobs accepts callers all the same and answers with an error. */
        const val STARTUP_LIMIT_MILLIS = 3_000L
    }
}
