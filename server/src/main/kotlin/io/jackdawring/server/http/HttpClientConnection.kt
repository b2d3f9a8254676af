package io.jackdawring.server.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelException
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

private val logger = KotlinLogging.logger("io.jackdawring.http")

/** One connection of an [HttpConnectionPool] with at most one request at a time. */
internal class HttpClientConnection(
    private val pool: HttpConnectionPool,
    private val address: String,
    private val options: HttpClientOptions,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val writeObserver = WriteObserver()
    private var call: PendingHttpCall? = null
    private var response: HttpResponse? = null
    private val body = BodyBuffer()

    /** The complete response, until all that arrived with it is read. */
    private var answer: HttpResponseMessage? = null
    private var closing = false

    /** The request is not fully written; if its response arrives before that, the connection is not reused. */
    private var writing = false
    var idleSinceNanos = 0L

    val isUsable: Boolean get() = !closing && channel.isActive

    /** Adds the handlers to [channel]; [host] and [port] identify the server when its TLS certificate is checked. */
    fun install(
        channel: Channel,
        host: String,
        port: Int,
    ) {
        this.channel = channel
        val pipeline = channel.pipeline()
        pipeline.addLast(writeObserver)
        options.sslContext?.let { pipeline.addLast(it.newHandler(channel.alloc(), host, port)) }
        val decoderConfig = HttpDecoderConfig().setMaxHeaderSize(options.maxHeaderBytes)
        pipeline
            .addLast(HttpResponseDecoder(decoderConfig))
            .addLast(HttpRequestEncoder())
            .addLast(this)
    }

    fun send(call: PendingHttpCall) {
        this.call = call
        call.connection = this
        writeObserver.bytesWritten = false
        writing = true
        channel.writeAndFlush(encode(call.request)).addListener { future ->
            writing = false
            if (!future.isSuccess) fail("cannot write to $address: ${future.cause()?.message}")
        }
    }

    private fun encode(request: HttpRequestMessage): DefaultFullHttpRequest {
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method),
                encodeTarget(request),
                Unpooled.wrappedBuffer(request.body),
            )
        val headers = message.headers()
        headers.set(HttpHeaderNames.HOST, address)
        request.headers.forEach { (name, value) -> headers.set(name, value) }
        headers.setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        return message
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (answer != null) closing = true
            if (closing || message !is HttpObject) return
            if (call == null || message.decoderResult().isFailure) {
                fail("$address sent an invalid response")
                return
            }
            if (message is HttpResponse) response = message
            if (message is HttpContent) append(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun append(content: HttpContent) {
        val response = response ?: return
        if (body.size + content.content().readableBytes() > options.maxResponseBytes) {
            fail("the response of $address exceeds ${options.maxResponseBytes} bytes")
            return
        }
        body.append(content.content())
        if (content is LastHttpContent) finish(response)
    }

    private fun finish(response: HttpResponse) {
        this.response = null
        val status = response.status().code()
        if (status < FIRST_FINAL_STATUS) return
        val message = HttpResponseMessage(status, response.headers().toLowerCaseMap(), body.take())
        if (writing || !HttpUtil.isKeepAlive(response)) closing = true
        answer = message
    }

    /** Completes the call only now, so that a surplus response in the same read does not answer the next request. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        deliver()
        context.fireChannelReadComplete()
    }

    private fun deliver() {
        val message = answer ?: return
        answer = null
        val completed = detachCall()
        // Released first, so that a request sent by the result callback can reuse the connection.
        pool.release(this)
        completed?.complete(HttpResult.Answered(message))
    }

    /** Ends the request in progress and closes the connection. */
    fun fail(
        detail: String,
        cancelled: Boolean = false,
    ) {
        closing = true
        deliver()
        val failed = detachCall()
        if (failed != null) discardUnsentBytes()
        channel.close()
        val written = writeObserver.bytesWritten
        failed?.complete(
            if (written) HttpResult.NoResponse(detail, cancelled) else HttpResult.NotSent(detail, cancelled),
        )
    }

    /** Makes closing reset the connection, so that a request that the network holds up does not arrive later. */
    private fun discardUnsentBytes() {
        if (!channel.isOpen) return
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0)
        } catch (e: ChannelException) {
            logger.debug { "connection to $address is closed without a reset: ${e.message}" }
        }
    }

    private fun detachCall(): PendingHttpCall? {
        val detached = call
        call = null
        detached?.connection = null
        return detached
    }

    fun close() {
        closing = true
        channel.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail("$address closed the connection")
        pool.onClosed(this)
    }

    @Deprecated("Deprecated in ChannelInboundHandlerAdapter")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) = fail("connection to $address failed: ${cause.message}")

    private companion object {
        const val FIRST_FINAL_STATUS = 200
    }
}
