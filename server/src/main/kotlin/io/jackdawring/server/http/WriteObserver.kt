package io.jackdawring.server.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.DefaultChannelProgressivePromise

/**
 * Records whether the socket accepted any bytes.
 *
 * The promise of a write does not show this: it also fails if only some of the bytes were written.
 */
internal class WriteObserver : ChannelOutboundHandlerAdapter() {
    var bytesWritten = false

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        val observed = ObservedPromise(context)
        observed.addListener { future ->
            if (future.isSuccess) promise.trySuccess() else promise.tryFailure(future.cause())
        }
        context.write(message, observed)
    }

    private inner class ObservedPromise(
        context: ChannelHandlerContext,
    ) : DefaultChannelProgressivePromise(context.channel(), context.executor()) {
        override fun tryProgress(
            progress: Long,
            total: Long,
        ): Boolean {
            bytesWritten = true
            return super.tryProgress(progress, total)
        }

        override fun trySuccess(result: Void?): Boolean {
            bytesWritten = true
            return super.trySuccess(result)
        }
    }
}
