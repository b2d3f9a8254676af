package io.jackdawring.fleet.model

/** Kinds of faults in a [FleetSchedule]. */
internal enum class FleetFault {
    INSTANCE_KILLED,
    INSTANCE_FROZEN,

    /** The instance's monotonic clock does not count the pause. */
    INSTANCE_SUSPENDED,
    INSTANCE_DRAINED,
    PEERS_CUT_OFF,
    DOMAIN_CUT_OFF,
    STORE_CUT_OFF,
    STORE_SLOW,
    STORE_DOWN,
    TARGET_SILENT,
    TARGET_ANSWERS_LOST,
    TARGET_RESTARTED,
    CALLERS_RESET,

    /** The targets of one failure domain, always the same one, never return. */
    TARGETS_LOST,
}
