package io.jackdawring.core.shard

/** What a holder of a shard knew at [madeAtMillis]: all callers of its runs waited at [servedAtMillis]. */
internal class ServiceStatement(
    val servedAtMillis: Long,
    val madeAtMillis: Long,
)
