package io.jackdawring.core.configuration

/** Keys and limits of service files; `service-file.schema.json` states the same. */
internal object ServiceFileFormat {
    const val MAX_FILE_BYTES = 65_536
    const val MAX_KINDS = 64

    /** Restricted because names appear in metric labels and log lines. */
    val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
    const val NAME_ALLOWED = "1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and '-', the first a letter or digit"

    val WEIGHT = 1L..1_000L
    val QUOTA_TASKS = 1L..1_000_000L
    val PRIORITY = 1L..9L

    /** The longest deadline is 60 s. */
    val EXPECTED_MILLIS = 1L..60_000L
    val LATENCY_MILLIS = 1L..60_000L

    /** 100 % would leave no error budget. */
    val PERCENT = 1.0..99.999

    val SERVICE_KEYS = setOf("service", "team", "weight", "quotaTasks", "kinds")
    val KIND_KEYS = setOf("name", "priority", "idempotent", "expectedMillis", "objective")
    val OBJECTIVE_KEYS = setOf("latencyMillis", "percent")
}
