package io.jackdawring.server.caller

private const val MAX_ID_CHARS = 64
private const val MAX_EXCERPT_CHARS = 80

private val submissionIdPattern = Regex("[A-Za-z0-9_-]{1,$MAX_ID_CHARS}")
private val namePattern = Regex("[A-Za-z0-9._-]{1,$MAX_ID_CHARS}")
private val uuidV7Pattern =
    Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}")

/** Truncates text of a caller for an error message. */
internal fun String.excerpt(): String =
    if (length <= MAX_EXCERPT_CHARS) this else take(MAX_EXCERPT_CHARS) + "... ($length characters)"

internal fun validName(
    field: String,
    value: String,
): String {
    if (namePattern.matches(value)) return value
    throw InvalidRequest(
        "field \"$field\" is \"${value.excerpt()}\"; it must have 1 to $MAX_ID_CHARS letters, digits, '.', '_' or '-'",
    )
}

internal fun validCallerId(value: String): String {
    if (value.length in 1..MAX_ID_CHARS && value.none { it.isISOControl() || it.isSurrogate() }) return value
    throw InvalidRequest(
        "field \"caller\" has ${value.length} characters; it must have 1 to $MAX_ID_CHARS without control characters",
    )
}

internal fun validSubmissionId(
    value: String?,
    inSession: Boolean,
): String {
    if (value == null) throw InvalidRequest("header Idempotency-Key is missing; it names the submission")
    if (!submissionIdPattern.matches(value)) {
        throw InvalidRequest(
            "submission id is \"${value.excerpt()}\"; it must have 1 to $MAX_ID_CHARS letters, digits, '_' or '-'",
        )
    }
    if (!inSession && !uuidV7Pattern.matches(value)) {
        throw InvalidRequest("submission id is \"$value\"; without a session it must be a UUID of version 7")
    }
    return value
}

/** Whether the caller declares that it never submitted the id before. */
internal fun isFirstAttempt(value: String?): Boolean {
    if (value == null) return false
    val attempt = value.toIntOrNull()?.takeIf { it >= 1 }
    if (attempt == null) {
        throw InvalidRequest("header Jackdaw-Attempt is \"${value.excerpt()}\"; it must be an integer of at least 1")
    }
    return attempt == 1
}
