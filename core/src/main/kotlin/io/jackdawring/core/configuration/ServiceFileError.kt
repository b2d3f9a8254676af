package io.jackdawring.core.configuration

/** A validation error in [file]: [value] at [key] is invalid; [allowed] describes the valid values. */
data class ServiceFileError(
    val file: String,
    val key: String,
    val value: String,
    val allowed: String,
) {
    /** One line for the operator. */
    override fun toString(): String = "$file: $key: $value is not allowed; allowed: $allowed"
}
