package io.jackdawring.server.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import java.io.IOException
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** One connection of a [RealHttpServer]; all state is confined to its event loop. */
internal class HttpServerConnection(
    private val server: RealHttpServer,
    private val overLimit: Boolean,
) : ChannelInboundHandlerAdapter() {
    private val options = server.options
    private lateinit var context: ChannelHandlerContext
    private val unanswered = ArrayDeque<RealHttpExchange>()
    private val body = BodyBuffer()
    private var receiving: HttpRequest? = null

    /** No further request is read; the connection closes once the earlier requests are answered. */
    private var closing = false
    private var writesInProgress = 0
    private var lastProgressNanos = System.nanoTime()
    private var idleCheck: ScheduledFuture<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        if (overLimit) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "the connection limit is reached", retryAfter = true)
            return
        }
        val intervalMillis = maxOf(1, options.idleTimeoutMillis / IDLE_CHECKS_PER_TIMEOUT)
        idleCheck =
            context.executor().scheduleAtFixedRate(::checkIdle, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        idleCheck?.cancel(false)
        server.bufferedBytes.addAndGet(-body.size.toLong())
        while (unanswered.isNotEmpty()) {
            val exchange = unanswered.removeFirst()
            releaseBody(exchange)
            server.openRequests.decrementAndGet()
            exchange.markDisconnected()
        }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (closing || message !is HttpObject) return
            if (message.decoderResult().isFailure) {
                rejectUndecodable(message.decoderResult().cause())
                return
            }
            if (message is HttpRequest) startRequest(message)
            if (message is HttpContent) appendBody(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun rejectUndecodable(cause: Throwable) =
        when (cause) {
            is TooLongHttpLineException -> {
                reject(HttpResponseStatus.REQUEST_URI_TOO_LONG, "the request line exceeds its limit")
            }

            is TooLongHttpHeaderException -> {
                reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers exceed their limit")
            }

            else -> {
                reject(HttpResponseStatus.BAD_REQUEST, "the request is not valid HTTP/1.1")
            }
        }

    private fun startRequest(request: HttpRequest) {
        val problem = requestProblem(request)
        val length = HttpUtil.getContentLength(request, -1L)
        when {
            problem != null -> {
                reject(problem.first, problem.second)
            }

            length > options.maxBodyBytes -> {
                rejectTooLarge()
            }

            else -> {
                receiving = request
                if (HttpUtil.is100ContinueExpected(request)) {
                    context.writeAndFlush(
                        DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER,
                        ),
                    )
                }
            }
        }
    }

    private fun requestProblem(request: HttpRequest): Pair<HttpResponseStatus, String>? {
        val headers = request.headers()
        val version = request.protocolVersion()
        val transferEncodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return when {
            version.majorVersion() != 1 -> {
                HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED to "only HTTP/1.1 is supported"
            }

            version.minorVersion() >= 1 && headers.getAll(HttpHeaderNames.HOST).size != 1 -> {
                HttpResponseStatus.BAD_REQUEST to "exactly one Host header is required"
            }

            transferEncodings.isNotEmpty() && headers.contains(HttpHeaderNames.CONTENT_LENGTH) -> {
                HttpResponseStatus.BAD_REQUEST to "both Content-Length and Transfer-Encoding are present"
            }

            transferEncodings.isNotEmpty() &&
                !transferEncodings.singleOrNull().equals(
                    "chunked",
                    ignoreCase = true,
                ) -> {
                HttpResponseStatus.NOT_IMPLEMENTED to "the only supported Transfer-Encoding is chunked"
            }

            else -> {
                null
            }
        }
    }

    private fun appendBody(content: HttpContent) {
        val request = receiving ?: return
        val chunk = content.content()
        if (body.size + chunk.readableBytes() > options.maxBodyBytes) {
            rejectTooLarge()
            return
        }
        val buffered = server.bufferedBytes.addAndGet(chunk.readableBytes().toLong())
        body.append(chunk)
        if (buffered > options.maxBufferedBytes) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many request bodies are buffered", retryAfter = true)
            return
        }
        if (content is LastHttpContent) finishRequest(request)
    }

    private fun finishRequest(request: HttpRequest) {
        val uri = request.uri()
        val decoder = QueryStringDecoder(uri)
        val path: String
        val query: ImmutableMap<String, String>
        try {
            path = decoder.path()
            query =
                if (uri.indexOf('?') < 0) {
                    persistentMapOf()
                } else {
                    decoder.parameters().mapValues { it.value.first() }.toImmutableMap()
                }
        } catch (_: IllegalArgumentException) {
            reject(HttpResponseStatus.BAD_REQUEST, "the request target is not a valid URI")
            return
        }
        receiving = null
        lastProgressNanos = System.nanoTime()
        val message =
            HttpRequestMessage(request.method().name(), path, query, request.headers().toLowerCaseMap(), body.take())
        val headOnly = request.method() == HttpMethod.HEAD
        val exchange = RealHttpExchange(this, message, HttpUtil.isKeepAlive(request), headOnly)
        if (!exchange.keepAlive) closing = true
        server.openRequests.incrementAndGet()
        unanswered.addLast(exchange)
        pauseOrResumeReading()
        server.handler.handle(exchange)
    }

    private fun rejectTooLarge() =
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body exceeds ${options.maxBodyBytes} bytes")

    /** Responds with an error after the responses to earlier requests, then closes the connection. */
    private fun reject(
        status: HttpResponseStatus,
        detail: String,
        retryAfter: Boolean = false,
    ) {
        closing = true
        receiving = null
        server.bufferedBytes.addAndGet(-body.size.toLong())
        body.take()
        val exchange = RealHttpExchange(this, REJECTED_REQUEST, keepAlive = false, headOnly = false)
        server.openRequests.incrementAndGet()
        unanswered.addLast(exchange)
        exchange.respond(options.rejection(status.code(), detail, if (retryAfter) RETRY_AFTER_SECONDS else null))
    }

    /** Runs [action] on the event loop of the connection, immediately if the current thread is that loop. */
    fun execute(action: () -> Unit) {
        val executor = context.executor()
        if (executor.inEventLoop()) {
            action()
        } else {
            try {
                executor.execute(action)
            } catch (_: RejectedExecutionException) {
                // The transport is closed and so is the connection; the response cannot be delivered.
            }
        }
    }

    /** Closes the connection immediately, without the outstanding responses. */
    fun close() {
        context.close()
    }

    /** Closes the connection unless a request is being received, handled or answered. */
    fun closeIfIdle() =
        execute {
            if (unanswered.isEmpty() && receiving == null && writesInProgress == 0) {
                closing = true
                context.close()
            }
        }

    /** Writes the available responses in request order, up to the first request without one. */
    fun writeAnswers() {
        var wroteAny = false
        while (unanswered.isNotEmpty()) {
            val response = unanswered.first().response ?: break
            val exchange = unanswered.removeFirst()
            write(exchange, response)
            wroteAny = true
            if (closing && unanswered.isEmpty()) break
        }
        if (wroteAny) {
            context.flush()
            pauseOrResumeReading()
        }
    }

    private fun write(
        exchange: RealHttpExchange,
        response: HttpResponseMessage,
    ) {
        releaseBody(exchange)
        exchange.markWritten()
        val last = !exchange.keepAlive || (server.closesAfterAnswers && unanswered.isEmpty() && receiving == null)
        val content = if (exchange.headOnly) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(response.body)
        val message =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status), content)
        response.headers.forEach { (name, value) -> message.headers().set(name, value) }
        if (response.status != HttpResponseStatus.NO_CONTENT.code()) {
            message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.body.size)
        }
        if (last) closing = true
        if (last) message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (writesInProgress++ == 0) lastProgressNanos = System.nanoTime()
        context.write(message).addListener(
            ChannelFutureListener {
                writesInProgress--
                server.openRequests.decrementAndGet()
                lastProgressNanos = System.nanoTime()
                if (last) closeAfterLastAnswer()
            },
        )
    }

    /**
     * Closes the connection; without TLS, first shuts down output and discards input for [LINGER_MILLIS].
     *
     * Closing a socket with unread input makes the kernel reset the connection, and the client may lose the response.
     */
    private fun closeAfterLastAnswer() {
        val channel = context.channel()
        closing = true
        if (options.sslContext == null && channel is DuplexChannel && channel.isActive) {
            channel.shutdownOutput()
            channel.config().isAutoRead = true
            context.executor().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
        } else {
            channel.close()
        }
    }

    private fun releaseBody(exchange: RealHttpExchange) {
        server.bufferedBytes.addAndGet(
            -exchange.request.body.size
                .toLong(),
        )
    }

    private fun pauseOrResumeReading() {
        val read = context.channel().isWritable && unanswered.size < options.maxPipelined
        val config = context.channel().config()
        if (config.isAutoRead != read) config.isAutoRead = read
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) = pauseOrResumeReading()

    private fun checkIdle() {
        val waitsForClient = writesInProgress > 0 || unanswered.isEmpty()
        val inactiveNanos = System.nanoTime() - lastProgressNanos
        if (!waitsForClient || inactiveNanos < TimeUnit.MILLISECONDS.toNanos(options.idleTimeoutMillis)) return
        if (receiving != null && writesInProgress == 0) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request was not received in time")
        } else {
            context.close()
        }
    }

    @Deprecated("Deprecated in ChannelInboundHandlerAdapter")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        // Resets and TLS failures are expected and caused by the other side; anything else is a bug in the handler.
        if (cause !is IOException && cause !is DecoderException) logger.error(cause) { "a request handler failed" }
        context.close()
    }

    private companion object {
        const val IDLE_CHECKS_PER_TIMEOUT = 4
        const val LINGER_MILLIS = 500L
        const val RETRY_AFTER_SECONDS = 1
        val REJECTED_REQUEST = HttpRequestMessage("", "")
    }
}
