package io.jackdawring.server.http

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf

/** A whole HTTP request; header names in [headers] are lower case, [path] is without the query. */
class HttpRequestMessage(
    val method: String,
    val path: String,
    val query: ImmutableMap<String, String> = persistentMapOf(),
    val headers: ImmutableMap<String, String> = persistentMapOf(),
    val body: ByteArray = EMPTY,
) {
    /** Value of header [name] in any case, or null. */
    fun header(name: String): String? = headers[name.lowercase()]
}

/** A whole HTTP response; header names in [headers] are lower case. */
class HttpResponseMessage(
    val status: Int,
    val headers: ImmutableMap<String, String> = persistentMapOf(),
    val body: ByteArray = EMPTY,
) {
    /** Value of header [name] in any case, or null. */
    fun header(name: String): String? = headers[name.lowercase()]
}

private val EMPTY = ByteArray(0)
