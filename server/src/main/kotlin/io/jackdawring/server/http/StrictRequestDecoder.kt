package io.jackdawring.server.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Rejects requests with both Content-Length and Transfer-Encoding.
 *
 * Netty's default drops Content-Length, but an intermediary may have used it and would then see different request
 * boundaries (request smuggling).
 */
internal class StrictRequestDecoder(
    config: HttpDecoderConfig,
) : HttpRequestDecoder(config) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")
}
