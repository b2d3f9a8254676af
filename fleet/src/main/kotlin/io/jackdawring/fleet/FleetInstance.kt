package io.jackdawring.fleet

/** An entry instance that shares targets with its peers; each shard of targets has one holder at a time. */
interface FleetInstance : AutoCloseable {
    /** Hands over the shards and blocks until all requests are answered or the grace period has ended. */
    fun drain()

    override fun close()

    /** Starts entry instances. */
    fun interface Factory {
        /** Starts an entry instance; throws [IllegalStateException] if an address cannot be bound. */
        fun start(options: FleetOptions): FleetInstance
    }
}
