package io.jackdawring.server.caller

/** A request that breaks the documented limits; [message] names the field, its value and the allowed range. */
internal class InvalidRequest(
    override val message: String,
    val status: Int = 400,
) : Exception(message, null, false, false)
