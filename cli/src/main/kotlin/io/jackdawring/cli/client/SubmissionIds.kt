package io.jackdawring.cli.client

import java.security.SecureRandom
import java.util.UUID

/** Creates submission ids. */
internal object SubmissionIds {
    private val random = SecureRandom()

    /** A UUIDv7 (RFC 9562): 48 bits of Unix time in milliseconds, version, variant and random bits. */
    fun uuidV7(unixMillis: Long): String {
        val high = (unixMillis shl 16) or 0x7000L or random.nextLong(0x1000)
        val low = (random.nextLong() and 0x3fff_ffff_ffff_ffffL) or Long.MIN_VALUE
        return UUID(high, low).toString()
    }
}
