package io.jackdawring.server.http

import io.netty.handler.codec.http.QueryStringEncoder
import java.net.URLEncoder

/** Request target of [request] with its query; the path is escaped except for `/`. */
internal fun encodeTarget(request: HttpRequestMessage): String {
    val path = if (request.path.all(::isPlain)) request.path else escapePath(request.path)
    if (request.query.isEmpty()) return path
    val encoder = QueryStringEncoder(path)
    request.query.forEach { (name, value) -> encoder.addParam(name, value) }
    return encoder.toString()
}

private fun isPlain(char: Char): Boolean = char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in "/-_.~:"

private fun escapePath(path: String): String =
    path.split('/').joinToString("/") { URLEncoder.encode(it, Charsets.UTF_8).replace("+", "%20") }
