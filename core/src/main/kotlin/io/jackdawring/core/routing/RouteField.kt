package io.jackdawring.core.routing

/** A field of a [QueueRoute] other than its name; [read] returns the field's value. */
enum class RouteField(
    val read: (QueueRoute) -> Any,
) {
    HOST(QueueRoute::host),
    PREFIX(QueueRoute::prefix),
    SERVICE(QueueRoute::service),
    TIMEOUT_MILLIS(QueueRoute::timeoutMillis),
    BASE_OBJECTIVE_MILLIS(QueueRoute::baseObjectiveMillis),
    PRIORITY(QueueRoute::priority),
    MAX_ATTEMPTS(QueueRoute::maxAttempts),
    STRETCH(QueueRoute::stretch),
}
