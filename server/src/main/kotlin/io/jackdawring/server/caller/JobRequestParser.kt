package io.jackdawring.server.caller

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import io.jackdawring.core.Payload
import io.jackdawring.core.Submission
import io.jackdawring.core.TaskSpec
import io.jackdawring.server.json.jsonFactory
import io.jackdawring.server.json.skipValue

/** Parses a job body in one pass and copies the raw payloads; throws [InvalidRequest] if the body is invalid. */
internal class JobRequestParser(
    private val body: ByteArray,
) {
    private var caller: String? = null
    private var service: String? = null
    private var kind: String? = null
    private var deadlineMillis: Long? = null
    private var tasks: List<TaskSpec>? = null

    fun parse(): JobRequest =
        try {
            jsonFactory.createParser(body).use { parser ->
                parser.readObject("the body") { name -> readField(parser, name) }
                if (parser.nextToken() != null) throw InvalidRequest("the body has content after the JSON object")
            }
            build()
        } catch (invalid: JsonProcessingException) {
            val position = invalid.location?.byteOffset ?: 0
            throw InvalidRequest("the body is not valid JSON at byte $position: ${invalid.originalMessage.firstLine()}")
        }

    private fun build(): JobRequest {
        val service = service ?: throw InvalidRequest("field \"service\" is missing")
        val kind = kind ?: throw InvalidRequest("field \"kind\" is missing")
        val tasks = tasks ?: throw InvalidRequest("field \"tasks\" is missing")
        val deadlineMillis = deadlineMillis ?: Submission.DEFAULT_DEADLINE_MILLIS
        return JobRequest(caller, service, kind, deadlineMillis, tasks, fingerprintOf(service, kind, tasks))
    }

    private fun readField(
        parser: JsonParser,
        name: String,
    ) {
        when (name) {
            "caller" -> caller = once(caller, name) { validCallerId(parser.readString(name)) }
            "service" -> service = once(service, name) { validName(name, parser.readString(name)) }
            "kind" -> kind = once(kind, name) { validName(name, parser.readString(name)) }
            "deadlineMillis" -> deadlineMillis = once(deadlineMillis, name) { parser.readLong(name, DEADLINE_RANGE) }
            "tasks" -> tasks = once(tasks, name) { readTasks(parser) }
            else -> throw unknownField(name, "caller, service, kind, deadlineMillis, tasks")
        }
    }

    private fun readTasks(parser: JsonParser): List<TaskSpec> {
        if (parser.currentToken() != JsonToken.START_ARRAY) throw InvalidRequest("field \"tasks\" is not an array")
        val result = ArrayList<TaskSpec>()
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (result.size == Submission.MAX_TASKS) {
                throw InvalidRequest("field \"tasks\" has more than ${Submission.MAX_TASKS} entries", status = 413)
            }
            result.add(readTask(parser, "tasks[${result.size}]"))
        }
        if (result.isEmpty()) {
            throw InvalidRequest("field \"tasks\" is empty; it must have 1 to ${Submission.MAX_TASKS} entries")
        }
        return result
    }

    private fun readTask(
        parser: JsonParser,
        path: String,
    ): TaskSpec {
        var payload: Payload? = null
        var expectedMillis: Long? = null
        var memoryMb: Long? = null
        var accelerators: Long? = null
        parser.readObjectBody(path) { name ->
            val field = "$path.$name"
            when (name) {
                "payload" -> payload = once(payload, field) { readPayload(parser) }
                "expectedMillis" ->
                    expectedMillis =
                        once(expectedMillis, field) { parser.readLong(field, RUN_TIME_RANGE) }
                "memoryMb" -> memoryMb = once(memoryMb, field) { parser.readLong(field, MEMORY_RANGE) }
                "accelerators" -> accelerators = once(accelerators, field) { parser.readLong(field, ACCELERATOR_RANGE) }
                else -> throw unknownField(field, "payload, expectedMillis, memoryMb, accelerators")
            }
        }
        return TaskSpec(
            payload = payload ?: throw InvalidRequest("field \"$path.payload\" is missing"),
            expectedMillis = expectedMillis,
            memoryMb = memoryMb?.toInt() ?: 0,
            accelerators = accelerators?.toInt() ?: 0,
        )
    }

    private fun readPayload(parser: JsonParser): Payload {
        val start = parser.currentTokenLocation().byteOffset.toInt()
        parser.skipValue()
        val end = parser.currentLocation().byteOffset.toInt()
        return Payload(body.copyOfRange(start, end))
    }

    private companion object {
        val DEADLINE_RANGE = 1L..Submission.MAX_DEADLINE_MILLIS
        val RUN_TIME_RANGE = 1L..Submission.MAX_DEADLINE_MILLIS
        val MEMORY_RANGE = 0L..16L * 1024 * 1024
        val ACCELERATOR_RANGE = 0L..1_024L
    }
}

private inline fun JsonParser.readObject(
    path: String,
    onField: (String) -> Unit,
) {
    nextToken()
    readObjectBody(path, onField)
}

/** Calls [onField] with the parser on the first token of each field's value. */
private inline fun JsonParser.readObjectBody(
    path: String,
    onField: (String) -> Unit,
) {
    if (currentToken() != JsonToken.START_OBJECT) throw InvalidRequest("$path is not a JSON object")
    while (nextToken() == JsonToken.FIELD_NAME) {
        val name = currentName()
        nextToken()
        onField(name)
    }
}

private inline fun <T : Any> once(
    current: T?,
    field: String,
    read: () -> T,
): T {
    if (current != null) throw InvalidRequest("field \"${field.excerpt()}\" appears twice")
    return read()
}

private fun unknownField(
    field: String,
    known: String,
) = InvalidRequest("field \"${field.excerpt()}\" is unknown; known fields are $known")

private fun JsonParser.readString(field: String): String {
    if (currentToken() != JsonToken.VALUE_STRING) throw InvalidRequest("field \"$field\" is not a string")
    return text
}

private fun JsonParser.readLong(
    field: String,
    range: LongRange,
): Long {
    val value = if (currentToken() == JsonToken.VALUE_NUMBER_INT) text.toLongOrNull() else null
    if (value == null || value !in range) {
        val found = if (currentToken().isScalarValue) text.excerpt() else "a structure"
        throw InvalidRequest("field \"$field\" is $found; it must be an integer from ${range.first} to ${range.last}")
    }
    return value
}

private fun String.firstLine() = substringBefore('\n').excerpt()
