package io.jackdawring.core

import io.jackdawring.core.membership.PeerMessage

/** Forwards effects from the components of an entry instance to the sink of the event being handled. */
internal class EffectEmitter(
    private val self: Owner,
) : EffectSink {
    private var sink: EffectSink? = null
    private var lastOperation = 0L

    /** Runs [block] with [effects] as the sink of all emitted effects. */
    inline fun withSink(
        effects: EffectSink,
        block: () -> Unit,
    ) {
        setSink(effects)
        try {
            block()
        } finally {
            setSink(null)
        }
    }

    fun setSink(effects: EffectSink?) {
        sink = effects
    }

    override fun emit(effect: Effect) {
        checkNotNull(sink) { "effect $effect was emitted while no event is being handled" }.emit(effect)
    }

    fun answer(
        requestId: RequestId,
        outcome: Outcome,
    ) = emit(Effect.Answer(requestId, outcome))

    fun send(
        peer: Owner,
        message: PeerMessage,
    ) = emit(Effect.SendToPeer(peer.peerAddress, message))

    fun report(change: StateChange) = emit(Effect.ReportChange(change))

    fun callStore(call: StoreCall): OperationId {
        val operationId = OperationId(++lastOperation)
        emit(Effect.CallStore(operationId, call))
        return operationId
    }

    /** Sends [outcome] to the caller or to the entry instance that forwarded the request. */
    fun reply(
        replyTo: ReplyTo,
        outcome: Outcome,
    ) = when (replyTo) {
        is ReplyTo.Caller -> answer(replyTo.requestId, outcome)
        is ReplyTo.Peer -> send(replyTo.sender, PeerMessage.ForwardAnswer(self, replyTo.correlation, outcome))
    }
}
