package io.jackdawring.core.configuration

/** A fault of a service file: [value] at [key] in [file] is not one of the [allowed] ones. */
data class ServiceFileError(
    val file: String,
    val key: String,
    val value: String,
    val allowed: String,
) {
    /** One line for the operator. */
    override fun toString(): String = "$file: $key: $value is not allowed; allowed: $allowed"
}
