package io.jackdawring.server.http

import io.netty.handler.codec.http.HttpHeaders
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentHashMapOf

/** Copies headers with lower-case names; values of a repeated name are joined with commas as RFC 9110 allows. */
internal fun HttpHeaders.toLowerCaseMap(): ImmutableMap<String, String> {
    val result = persistentHashMapOf<String, String>().builder()
    val iterator = iteratorAsString()
    while (iterator.hasNext()) {
        val (name, value) = iterator.next()
        val key = name.lowercase()
        val present = result[key]
        result[key] = if (present == null) value else "$present, $value"
    }
    return result.build()
}
