package io.jackdawring.core.membership

import io.jackdawring.core.Owner
import io.jackdawring.core.sha256
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import java.util.Base64

/**
 * Latest heartbeat of the incarnation with [token], without the rest of its [MemberFact].
 *
 * [tasksInFlight] is the number of tasks that it had in flight at the time of the heartbeat.
 */
data class Heartbeat(
    val token: String,
    val heartbeat: Long,
    val tasksInFlight: Int = 0,
) {
    companion object {
        /** 36 bits: the chance that two of 30 incarnations share a token is below 1 in 100 million. */
        const val TOKEN_CHARS = 6

        /** Token of one incarnation: the start of the SHA-256 of its id and number, in URL-safe Base64. */
        fun token(owner: Owner): String {
            val text = "${owner.instanceId.value}/${owner.incarnation}"
            val digest = sha256(text)
            return Base64.getUrlEncoder().encodeToString(digest).take(TOKEN_CHARS)
        }
    }
}

/**
 * Encodes heartbeats as one compact string, because a digest carries up to one per live member.
 *
 * The format is `<token><heartbeat>.<tasks> …` with numbers in base 36.
 */
object HeartbeatListSerializer : KSerializer<List<Heartbeat>> {
    override val descriptor =
        PrimitiveSerialDescriptor("io.jackdawring.core.membership.HeartbeatList", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: List<Heartbeat>,
    ) = encoder.encodeString(value.joinToString(" ") { format(it) })

    override fun deserialize(decoder: Decoder): List<Heartbeat> {
        val text = decoder.decodeString()
        return if (text.isEmpty()) emptyList() else text.split(' ').map { parse(it) }
    }

    private fun format(heartbeat: Heartbeat): String {
        val tasks = if (heartbeat.tasksInFlight == 0) "" else SEPARATOR + heartbeat.tasksInFlight.toString(RADIX)
        return heartbeat.token + heartbeat.heartbeat.toString(RADIX) + tasks
    }

    private fun parse(text: String): Heartbeat {
        val numbers = text.drop(Heartbeat.TOKEN_CHARS).split(SEPARATOR)
        val heartbeat = numbers[0].toLongOrNull(RADIX)
        val tasksInFlight = if (numbers.size > 1) numbers[1].toIntOrNull(RADIX) else 0
        if (heartbeat == null || tasksInFlight == null) {
            throw SerializationException("malformed heartbeat '$text': not a token followed by base 36 numbers")
        }
        return Heartbeat(text.take(Heartbeat.TOKEN_CHARS), heartbeat, tasksInFlight)
    }

    private const val SEPARATOR = "."
    private const val RADIX = 36
}
