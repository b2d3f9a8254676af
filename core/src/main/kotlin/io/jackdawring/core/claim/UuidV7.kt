package io.jackdawring.core.claim

import java.util.UUID

/** Unix time in milliseconds of a UUIDv7, or null if [text] is not one. */
internal fun uuidV7UnixMillis(text: String): Long? {
    if (text.length != UUID_LENGTH) return null
    val uuid =
        try {
            UUID.fromString(text)
        } catch (_: IllegalArgumentException) {
            return null
        }
    if (uuid.version() != UUID_VERSION || uuid.variant() != RFC_VARIANT) return null
    return uuid.mostSignificantBits ushr TIMESTAMP_SHIFT
}

private const val UUID_LENGTH = 36
private const val UUID_VERSION = 7
private const val RFC_VARIANT = 2

// RFC 9562: the Unix time in milliseconds is in the highest 48 of the 64 most significant bits.
private const val TIMESTAMP_SHIFT = 16
