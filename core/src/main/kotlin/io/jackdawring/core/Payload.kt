package io.jackdawring.core

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** JSON text of a task or of its result as UTF-8 bytes; opaque to the dispatcher and never modified. */
@Serializable(with = PayloadSerializer::class)
class Payload(
    val bytes: ByteArray,
) {
    override fun equals(other: Any?): Boolean = other is Payload && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "Payload(${bytes.size} bytes)"

    companion object {
        /** Payload with the UTF-8 bytes of [text]. */
        fun of(text: String): Payload = Payload(text.encodeToByteArray())
    }
}

/** Encodes a [Payload] as a JSON string. */
object PayloadSerializer : KSerializer<Payload> {
    override val descriptor = PrimitiveSerialDescriptor("io.jackdawring.core.Payload", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: Payload,
    ) = encoder.encodeString(value.bytes.decodeToString())

    override fun deserialize(decoder: Decoder): Payload = Payload.of(decoder.decodeString())
}
