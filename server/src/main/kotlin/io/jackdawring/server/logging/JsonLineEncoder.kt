package io.jackdawring.server.logging

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.encoder.EncoderBase
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.time.ExperimentalTime
import kotlin.time.Instant

/** Encodes each log event as one JSON object a line; key-value pairs of the event become fields. */
internal class JsonLineEncoder : EncoderBase<ILoggingEvent>() {
    override fun headerBytes(): ByteArray = NO_BYTES

    override fun footerBytes(): ByteArray = NO_BYTES

    // java.time formats it too, but loads its formatters first, which takes several milliseconds.
    @OptIn(ExperimentalTime::class)
    override fun encode(event: ILoggingEvent): ByteArray {
        val line =
            buildJsonObject {
                put("@timestamp", Instant.fromEpochMilliseconds(event.timeStamp).toString())
                put("@version", FORMAT_VERSION)
                put("message", event.formattedMessage)
                put("logger_name", event.loggerName)
                put("thread_name", event.threadName)
                put("level", event.level.toString())
                put("level_value", event.level.toInt())
                event.throwableProxy?.let { put("stack_trace", ThrowableProxyUtil.asString(it)) }
                event.keyValuePairs?.forEach { put(it.key, toJson(it.value)) }
            }
        return "$line\n".encodeToByteArray()
    }

    private fun toJson(value: Any?): JsonElement =
        when (value) {
            null -> JsonNull
            is Number -> JsonPrimitive(value)
            is Boolean -> JsonPrimitive(value)
            else -> JsonPrimitive(value.toString())
        }

    private companion object {
        /** Version of the line format that log collectors expect in `@version`. */
        const val FORMAT_VERSION = "1"
        val NO_BYTES = ByteArray(0)
    }
}
