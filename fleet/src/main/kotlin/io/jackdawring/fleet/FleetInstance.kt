package io.jackdawring.fleet

/** An entry instance that shares the targets of its failure domain with its peers. */
interface FleetInstance : AutoCloseable {
    /** Hands its shards over and serves its callers until they are done or the grace is over; blocks meanwhile. */
    fun drain()

    override fun close()

    /** Starts entry instances. */
    fun interface Factory {
        /** Starts one; fails with [IllegalStateException] if an address cannot be bound. */
        fun start(options: FleetOptions): FleetInstance
    }
}
