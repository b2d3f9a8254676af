package io.jackdawring.core.configuration

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Reads the values of one JSON object and collects all errors instead of stopping at the first. */
internal class JsonObjectReader(
    private val file: String,
    private val path: String,
    private val source: JsonObject,
    allowedKeys: Set<String>,
    private val errors: MutableList<ServiceFileError>,
) {
    init {
        for (key in source.keys - allowedKeys) {
            val suggestion =
                nearestWord(
                    key,
                    allowedKeys - source.keys,
                )?.let { "did you mean \"$it\"? Known keys: " }.orEmpty()
            addError(key, "the key \"$key\"", suggestion + allowedKeys.joinToString())
        }
    }

    fun name(key: String): String =
        value(key, "", ServiceFileFormat.NAME_ALLOWED) { element ->
            (element as? JsonPrimitive)?.takeIf { it.isString }?.content?.takeIf { ServiceFileFormat.NAME.matches(it) }
        }

    fun integer(
        key: String,
        range: LongRange,
        default: Long? = null,
    ): Long =
        value(key, default ?: range.first, "a whole number from ${range.first} to ${range.last}", default != null) {
            unquoted(it)?.longOrNull?.takeIf { number -> number in range }
        }

    fun decimal(
        key: String,
        range: ClosedFloatingPointRange<Double>,
    ): Double =
        value(key, range.start, "a number from ${range.start} to ${range.endInclusive}") {
            unquoted(it)?.doubleOrNull?.takeIf { number -> number in range }
        }

    fun boolean(
        key: String,
        default: Boolean,
    ): Boolean = value(key, default, "true or false", true) { unquoted(it)?.booleanOrNull }

    /** The result of [read] for the object at [key], or null if there is none. */
    fun <T : Any> objectOrNull(
        key: String,
        allowedKeys: Set<String>,
        read: (JsonObjectReader) -> T,
    ): T? {
        if (key !in source) return null
        val inner =
            value(
                key,
                JsonObject(emptyMap()),
                "an object with the keys ${allowedKeys.joinToString()}",
            ) { it as? JsonObject }
        // For an invalid value, inner is the empty default; reading it would report missing keys as well.
        if (inner !== source[key]) return null
        return read(JsonObjectReader(file, "$path$key.", inner, allowedKeys, errors))
    }

    /** The results of [read] for the 1 to [max] objects in the array at [key]. */
    fun <T> objects(
        key: String,
        max: Int,
        allowedKeys: Set<String>,
        read: (JsonObjectReader) -> T,
    ): List<T> {
        val array =
            value(key, JsonArray(emptyList()), "an array of 1 to $max objects") { element ->
                (element as? JsonArray)?.takeIf { it.size in 1..max && it.all { entry -> entry is JsonObject } }
            }
        return array.mapIndexed { index, element ->
            read(JsonObjectReader(file, "$path$key[$index].", element as JsonObject, allowedKeys, errors))
        }
    }

    /** [element] if it is a JSON number, boolean or null. */
    private fun unquoted(element: JsonElement): JsonPrimitive? = (element as? JsonPrimitive)?.takeIf { !it.isString }

    private fun <T : Any> value(
        key: String,
        substitute: T,
        allowed: String,
        optional: Boolean = false,
        convert: (JsonElement) -> T?,
    ): T {
        val element = source[key]
        if (element == null) {
            if (!optional) addError(key, "a missing value", allowed)
            return substitute
        }
        val converted = convert(element)
        if (converted == null) addError(key, abbreviated(element), allowed)
        return converted ?: substitute
    }

    private fun abbreviated(element: JsonElement): String {
        val text = element.toString()
        return if (text.length > MAX_SHOWN_CHARS) text.take(MAX_SHOWN_CHARS) + "…" else text
    }

    private fun addError(
        key: String,
        value: String,
        allowed: String,
    ) {
        errors += ServiceFileError(file, path + key, value, allowed)
    }

    private companion object {
        const val MAX_SHOWN_CHARS = 80
    }
}
