package io.jackdawring.server.http

import io.netty.handler.ssl.SslContext

/**
 * Limits of an [HttpClient].
 *
 * [maxConnectionsPerAddress] is null for no limit; beyond it, up to [maxWaitingPerAddress] requests wait for a
 * connection. [idleTimeoutMillis] is well below the idle timeout of servers, so that a server rarely closes a
 * connection just as it is reused.
 */
class HttpClientOptions(
    val maxConnectionsPerAddress: Int? = null,
    val maxWaitingPerAddress: Int = 1_024,
    val connectTimeoutMillis: Int = 1_000,
    val idleTimeoutMillis: Long = 20_000,
    val maxResponseBytes: Int = 16 * 1024 * 1024,
    val maxHeaderBytes: Int = 16 * 1024,
    val sslContext: SslContext? = null,
)
