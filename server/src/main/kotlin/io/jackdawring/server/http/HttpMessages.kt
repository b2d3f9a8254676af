package io.jackdawring.server.http

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf

/** A complete HTTP request; header names in [headers] are lower case, [path] is without the query. */
class HttpRequestMessage(
    val method: String,
    val path: String,
    val query: ImmutableMap<String, String> = persistentMapOf(),
    val headers: ImmutableMap<String, String> = persistentMapOf(),
    val body: ByteArray = EMPTY,
) {
    /** Value of header [name], ignoring case, or null if it is absent. */
    fun header(name: String): String? = headers[name.lowercase()]
}

/** A complete HTTP response; header names in [headers] are lower case. */
class HttpResponseMessage(
    val status: Int,
    val headers: ImmutableMap<String, String> = persistentMapOf(),
    val body: ByteArray = EMPTY,
) {
    /** Value of header [name], ignoring case, or null if it is absent. */
    fun header(name: String): String? = headers[name.lowercase()]
}

private val EMPTY = ByteArray(0)
