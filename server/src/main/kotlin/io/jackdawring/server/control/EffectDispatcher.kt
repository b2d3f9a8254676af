package io.jackdawring.server.control

import io.jackdawring.core.Effect
import io.jackdawring.core.Event
import io.jackdawring.core.RequestId
import io.jackdawring.server.dispatch.TargetClient
import io.jackdawring.server.http.HttpCall
import io.jackdawring.server.logging.StateChangeLog
import io.jackdawring.server.peer.PeerClient
import io.jackdawring.server.platform.StoreClient

/** Executes effects; its maps are confined to the control thread. */
internal class EffectDispatcher(
    private val targets: TargetClient,
    private val peers: PeerClient,
    private val store: StoreClient,
    private val changes: StateChangeLog,
    private val onShutdownComplete: () -> Unit,
) : ControlEffects {
    private val requests = HashMap<RequestId, OpenRequest>()
    private val callsByAttempt = HashMap<Long, HttpCall>()

    override fun register(request: OpenRequest) {
        requests[request.requestId] = request
    }

    override fun beforeEvent(event: Event) {
        when (event) {
            is Event.TaskAnswered -> callsByAttempt.remove(event.attemptId.value)
            is Event.CallerDisconnected -> requests.remove(event.requestId)
            else -> Unit
        }
    }

    override fun emit(effect: Effect) {
        when (effect) {
            is Effect.Answer -> requests.remove(effect.requestId)?.answer(effect.outcome)
            is Effect.StartTask -> callsByAttempt[effect.attemptId.value] = targets.start(effect)
            is Effect.CancelTask -> callsByAttempt.remove(effect.attemptId.value)?.cancel()
            is Effect.GrantSession -> grantSession(effect)
            is Effect.SendToPeer -> peers.send(effect.peerAddress, effect.message)
            is Effect.CallStore -> store.call(effect.operationId, effect.call)
            is Effect.ReportChange -> changes.report(effect.change)
            Effect.CompleteShutdown -> onShutdownComplete()
        }
    }

    private fun grantSession(effect: Effect.GrantSession) {
        requests.remove(effect.requestId)?.grantSession(effect.claims, effect.expiresInMillis)
    }
}
