package io.jackdawring.core.shard.interference

/** What tasks have in common that slow others down, or are slowed down, alike: their queue, and [image] if it is known. */
internal data class TaskKind(
    val queue: String,
    val image: String?,
) {
    /** The kind in log lines. */
    val label: String get() = if (image == null) queue else "$queue $image"
}
