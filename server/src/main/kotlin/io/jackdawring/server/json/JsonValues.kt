package io.jackdawring.server.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.StreamReadConstraints

/** Maximum nesting depth of a payload or result, so that hostile input cannot exhaust parser memory. */
internal const val MAX_JSON_DEPTH = 64

/** Creates parsers that report byte offsets, so that payloads are copied without decoding and encoding them again. */
internal val jsonFactory: JsonFactory =
    JsonFactory
        .builder()
        .streamReadConstraints(
            StreamReadConstraints
                .builder()
                .maxNestingDepth(MAX_JSON_DEPTH)
                .maxNameLength(MAX_NAME_CHARS)
                .maxNumberLength(MAX_NUMBER_CHARS)
                .build(),
        ).build()

private const val MAX_NAME_CHARS = 1_024
private const val MAX_NUMBER_CHARS = 100

/** Whether [bytes] are one JSON value in UTF-8 within the limits of [jsonFactory]. */
internal fun isJsonValue(bytes: ByteArray): Boolean =
    try {
        jsonFactory.createParser(bytes).use { parser ->
            parser.nextToken() != null && parser.skipValue() && parser.nextToken() == null
        }
    } catch (_: JsonProcessingException) {
        false
    }

/** Moves to the last token of the current value; also validates its strings, which lazy parsing would not. */
internal fun JsonParser.skipValue(): Boolean {
    skipChildren()
    finishToken()
    return true
}
