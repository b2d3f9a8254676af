package io.jackdawring.core

/** Why a task was not started. */
enum class NotStartedReason {
    /** All slots of the target are in use. */
    BUSY,

    /** The target is leaving. */
    LEAVING,

    /** The target could not be reached and no byte was sent. */
    UNREACHABLE,
}
