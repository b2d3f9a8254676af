package io.jackdawring.core

import java.security.MessageDigest

/** SHA-256 of the UTF-8 bytes of [text]. */
internal fun sha256(text: String): ByteArray = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())

/** SHA-256 of the UTF-8 bytes of [text] in lower-case hexadecimal. */
internal fun sha256Hex(text: String): String = sha256(text).joinToString("") { "%02x".format(it) }
