package io.jackdawring.server.http

import io.netty.buffer.ByteBuf

/** Collects the body of one message; memory grows with the bytes received, not with the declared length. */
internal class BodyBuffer {
    private var bytes = EMPTY
    var size = 0
        private set

    fun append(chunk: ByteBuf) {
        val length = chunk.readableBytes()
        if (length == 0) return
        if (size + length > bytes.size) bytes = bytes.copyOf(maxOf(size + length, if (size == 0) 0 else size * 2))
        chunk.getBytes(chunk.readerIndex(), bytes, size, length)
        size += length
    }

    /** The collected bytes; the buffer is empty afterwards. */
    fun take(): ByteArray {
        val result = if (size == bytes.size) bytes else bytes.copyOf(size)
        bytes = EMPTY
        size = 0
        return result
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}
