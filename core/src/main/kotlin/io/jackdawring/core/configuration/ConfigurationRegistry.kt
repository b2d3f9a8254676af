package io.jackdawring.core.configuration

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.OperationId
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.membership.PeerMessage

/** Holds the highest configuration version seen and fetches higher ones from the store and from peers. */
internal interface ConfigurationRegistry {
    val current: Configuration

    /** Whether the last call to the store was answered. */
    val storeReachable: Boolean

    /** Handles the answer to a store call of this registry; returns false if the call was not its own. */
    fun onStoreAnswered(
        operationId: OperationId,
        answer: StoreAnswer,
        nowMillis: Long,
    ): Boolean

    /** Records that [peer] has [version], and requests it if it is higher. */
    fun onPeerVersion(
        peer: Owner,
        version: Long,
        nowMillis: Long,
    )

    fun onRequest(request: PeerMessage.ConfigurationRequest)

    fun onOffer(
        offer: PeerMessage.ConfigurationOffer,
        nowMillis: Long,
    )

    /** Time at which [onTimer] is due, or null; due at once before the first call. */
    fun nextTimerMillis(): Long?

    fun onTimer(nowMillis: Long)

    /** Creates configuration registries. */
    fun interface Factory {
        fun create(
            options: EntryOptions,
            callbacks: ConfigurationCallbacks,
        ): ConfigurationRegistry
    }
}

/** What a [ConfigurationRegistry] needs from the entry instance. */
internal interface ConfigurationCallbacks {
    /** Emits a store call and returns its id. */
    fun callStore(call: StoreCall): OperationId

    fun send(
        peer: Owner,
        message: PeerMessage,
    )

    fun report(change: StateChange)

    /** Called after [ConfigurationRegistry.current] has changed. */
    fun configurationChanged(configuration: Configuration)
}
