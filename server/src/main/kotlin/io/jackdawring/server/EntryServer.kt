package io.jackdawring.server

import io.jackdawring.core.EntryInstance
import io.jackdawring.core.InstanceSnapshot

/** One entry instance with its listeners, control thread and clients. */
interface EntryServer : AutoCloseable {
    /** Bound address of the caller listener as `ip:port`. */
    val callerAddress: String

    /** Bound address of the peer listener as `ip:port`. */
    val peerAddress: String

    /** Bound address of the operator listener as `ip:port`, or null if there is none. */
    val operatorAddress: String?

    /** Current state of the decision logic; waits for the control thread. */
    fun snapshot(): InstanceSnapshot

    /** Starts a graceful shutdown; [onComplete] runs once no request is in progress and the records are handed over. */
    fun drain(onComplete: () -> Unit)

    /** Stops immediately, like a crash; open requests are aborted. */
    override fun close()

    /** Starts entry instances. */
    fun interface Factory {
        fun start(options: ServerOptions): EntryServer
    }

    companion object {
        /** Factory of servers with the production decision logic. */
        val Default: Factory = Factory { options -> RealEntryServer(options, EntryInstance.Default) }
    }
}
