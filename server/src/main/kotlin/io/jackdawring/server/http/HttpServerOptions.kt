package io.jackdawring.server.http

import io.netty.handler.ssl.SslContext
import kotlinx.collections.immutable.persistentMapOf

/**
 * Limits of an [HttpServer].
 *
 * [maxBufferedBytes] bounds the bodies of all requests that are being received or handled; requests beyond it are
 * rejected with 503.
 * [idleTimeoutMillis] limits the time between two requests, the time to receive one request and the time to write one
 * response. [maxPipelined] bounds the unanswered requests of a connection; reading pauses beyond it.
 * [rejection] builds the response to a request that is rejected before it reaches the handler.
 */
class HttpServerOptions(
    val maxConnections: Int = 10_000,
    val maxBodyBytes: Int = 16 * 1024 * 1024,
    val maxBufferedBytes: Long = 256L * 1024 * 1024,
    val maxHeaderBytes: Int = 16 * 1024,
    val maxRequestLineBytes: Int = 4 * 1024,
    val maxPipelined: Int = 16,
    val idleTimeoutMillis: Long = 75_000,
    val rejection: (status: Int, detail: String, retryAfterSeconds: Int?) -> HttpResponseMessage = ::plainRejection,
    val sslContext: SslContext? = null,
)

private fun plainRejection(
    status: Int,
    detail: String,
    retryAfterSeconds: Int?,
): HttpResponseMessage {
    val headers = persistentMapOf("content-type" to "text/plain; charset=utf-8")
    return HttpResponseMessage(
        status,
        if (retryAfterSeconds == null) headers else headers.put("retry-after", "$retryAfterSeconds"),
        "$detail\n".encodeToByteArray(),
    )
}
