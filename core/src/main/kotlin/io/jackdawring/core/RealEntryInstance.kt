package io.jackdawring.core

import io.jackdawring.core.claim.RealClaimLedger
import io.jackdawring.core.configuration.Configuration
import io.jackdawring.core.configuration.ConfigurationCallbacks
import io.jackdawring.core.configuration.RealConfigurationRegistry
import io.jackdawring.core.drain.DrainCallbacks
import io.jackdawring.core.drain.DrainController
import io.jackdawring.core.forward.Forwarder
import io.jackdawring.core.forward.SubmissionRouter
import io.jackdawring.core.job.Job
import io.jackdawring.core.job.JobAdmission
import io.jackdawring.core.job.JobRunner
import io.jackdawring.core.job.TeamQuotas
import io.jackdawring.core.membership.Heartbeat
import io.jackdawring.core.membership.MemberFact
import io.jackdawring.core.membership.PeerMessage
import io.jackdawring.core.membership.RealMembership
import io.jackdawring.core.membership.TargetFact
import io.jackdawring.core.queue.RealAdmissionControl
import io.jackdawring.core.queue.RealRetryBudget
import io.jackdawring.core.queue.RealTaskQueue
import io.jackdawring.core.session.HandedOverRecords
import io.jackdawring.core.session.RealSessionTable
import io.jackdawring.core.session.handOverBatches
import io.jackdawring.core.target.RealTargetPool
import kotlinx.collections.immutable.toImmutableList

internal class RealEntryInstance(
    private val options: EntryOptions,
) : EntryInstance {
    private val self = options.self
    private val emitter = EffectEmitter(self)
    private val sessions = RealSessionTable.Factory.create(options, self)
    private val handedOver = HandedOverRecords(options.maxRecords)
    private val membership = RealMembership.Factory.create(options, ::onMemberChanged)
    private val configuration = RealConfigurationRegistry.Factory.create(options, RealConfigurationCallbacks())
    private val pool = RealTargetPool.Factory.create(options, emitter::report)
    private val queue = RealTaskQueue.Factory.create(options)
    private val quotas = TeamQuotas(queue)
    private val runner = JobRunner(emitter, queue, pool, RealRetryBudget.Factory.create(options), ::onJobEnded)
    private val claims = RealClaimLedger.Factory.create(options, emitter)
    private val forwarder = Forwarder(self, emitter)
    private val drain = DrainController(emitter, membership, RealDrainCallbacks())
    private val admission =
        JobAdmission(
            configuration,
            pool,
            RealAdmissionControl.Factory.create(options, queue),
            quotas,
        ) { drain.isDraining }
    private val router =
        SubmissionRouter(options, emitter, sessions, handedOver, claims, forwarder, membership, admission, runner)
    private val pauseDetector = PauseDetector()
    private var membersChanged = false
    private var appliedLiveCount = 0
    private var appliedRank = -1
    private var dueAtMillis = Long.MIN_VALUE

    override fun handle(
        event: Event,
        nowMillis: Long,
        effects: EffectSink,
    ) = emitter.withSink(effects) {
        val timersDue = nowMillis >= dueAtMillis
        pauseDetector.onEvent(nowMillis)
        if (timersDue) runTimers(nowMillis)
        apply(event, nowMillis)
        val sharesChanged = updateShares()
        if (pool.takeUrgentFlag()) membership.gossipNow(nowMillis)
        if (!pauseDetector.isCatchingUp(
                nowMillis,
            )
        ) {
            dispatch(timersDue || sharesChanged || event.affectsAllServices, nowMillis)
        }
        drain.advance(nowMillis)
        dueAtMillis = earliestTimer() ?: Long.MAX_VALUE
    }

    override fun nextTimerMillis(): Long? = dueAtMillis.takeIf { it != Long.MAX_VALUE }

    override fun snapshot(): InstanceSnapshot =
        InstanceSnapshot(
            self = self,
            ready = configuration.current.version > 0 && !drain.isDraining,
            draining = drain.isDraining,
            configurationVersion = configuration.current.version,
            sessions = sessions.sessionCount,
            records = sessions.recordCount,
            runningJobs = runner.runningJobs,
            queuedTasks = queue.size,
            tasksInFlight = runner.tasksInFlight,
            storeReachable = configuration.storeReachable && claims.storeReachable,
            members = membership.status().toImmutableList(),
            targets = pool.status().toImmutableList(),
        )

    private fun apply(
        event: Event,
        nowMillis: Long,
    ) = when (event) {
        is Event.OpenSession -> openSession(event, nowMillis)
        is Event.Submit -> router.submit(event.submission, ReplyTo.Caller(event.requestId), nowMillis)
        is Event.Cancel -> router.cancel(event.submissionId, event.credential, nowMillis)
        is Event.CallerDisconnected -> forwarder.callerDisconnected(event.requestId)
        is Event.TaskAnswered -> runner.onTaskAnswered(event.attemptId, event.answer, nowMillis)
        is Event.PeerMessageReceived -> receive(event.message, nowMillis)
        is Event.PeerSendAcknowledged -> onAcknowledged(event, nowMillis)
        is Event.PeerSendFailed -> onSendFailed(event, nowMillis)
        is Event.StoreAnswered -> onStoreAnswered(event, nowMillis)
        is Event.InstancesListed -> onInstancesListed(event.list, nowMillis)
        Event.TimerFired -> Unit
        Event.ShutdownRequested -> drain.start()
    }

    private fun openSession(
        event: Event.OpenSession,
        nowMillis: Long,
    ) {
        val claims = if (drain.isDraining) null else sessions.open(event.callerId, nowMillis)
        when {
            claims != null -> emitter.emit(Effect.GrantSession(event.requestId, claims, options.sessionLifetimeMillis))
            drain.isDraining -> emitter.answer(event.requestId, Outcome.Refused(RefusalReason.DRAINING, 0))
            else -> emitter.answer(event.requestId, Outcome.Refused(RefusalReason.OVERLOADED, SESSION_RETRY_MILLIS))
        }
    }

    private fun receive(
        message: PeerMessage,
        nowMillis: Long,
    ) = when (message) {
        is PeerMessage.Digest -> {
            mergeDigest(message.sender, message.members, message.heartbeats, message.targets, nowMillis)
            emitter.send(message.sender, digestReply(pool.takeFacts(), nowMillis))
        }
        is PeerMessage.DigestReply ->
            mergeDigest(message.sender, message.members, message.heartbeats, message.targets, nowMillis)
        is PeerMessage.ForwardSubmission -> router.submitForwarded(message, nowMillis)
        is PeerMessage.ForwardAnswer -> forwarder.onAnswer(message)
        is PeerMessage.ForwardCancel -> router.cancelForwarded(message, nowMillis)
        is PeerMessage.HandOver -> handedOver.receive(message, nowMillis)
        is PeerMessage.ConfigurationRequest -> configuration.onRequest(message)
        is PeerMessage.ConfigurationOffer -> configuration.onOffer(message, nowMillis)
    }

    private fun mergeDigest(
        sender: Owner,
        members: List<MemberFact>,
        heartbeats: List<Heartbeat>,
        targets: List<TargetFact>,
        nowMillis: Long,
    ) {
        membership.merge(sender, members, nowMillis)
        membership.mergeHeartbeats(heartbeats, nowMillis)
        targets.forEach { pool.applyFact(it, nowMillis) }
        members.filter { it.owner == sender }.forEach {
            configuration.onPeerVersion(sender, it.configurationVersion, nowMillis)
        }
        answerUnreachable()
    }

    private fun onAcknowledged(
        event: Event.PeerSendAcknowledged,
        nowMillis: Long,
    ) {
        membership.sendAcknowledged(event.peerAddress, nowMillis)
        drain.onAcknowledged(event.peerAddress, event.message, nowMillis)
    }

    private fun onSendFailed(
        event: Event.PeerSendFailed,
        nowMillis: Long,
    ) {
        membership.sendFailed(event.peerAddress, nowMillis)
        val message = event.message
        if (message is PeerMessage.ForwardSubmission) forwarder.onSendFailed(message)
        drain.onSendFailed(event.peerAddress, message, nowMillis)
    }

    private fun onStoreAnswered(
        event: Event.StoreAnswered,
        nowMillis: Long,
    ) {
        val handled =
            configuration.onStoreAnswered(event.operationId, event.answer, nowMillis) ||
                claims.onStoreAnswered(event.operationId, event.answer, nowMillis)
        check(handled) { "the store answered an unknown operation ${event.operationId.value}" }
    }

    private fun onInstancesListed(
        list: InstanceList,
        nowMillis: Long,
    ) {
        pool.applyList(list, nowMillis)
        membership.applyList(list, nowMillis)
    }

    private fun onJobEnded(
        job: Job,
        outcome: Outcome,
        nowMillis: Long,
    ) {
        val record = job.record
        // No task of a refused job ran, so a resubmission may run it.
        if (outcome is Outcome.Refused) sessions.remove(record) else sessions.finish(record, outcome, nowMillis)
        record.takeWaiters().forEach { emitter.reply(it, outcome) }
    }

    private fun runTimers(nowMillis: Long) {
        sessions.onTimer(nowMillis)
        handedOver.onTimer(nowMillis)
        membership.onTimer(nowMillis)
        answerUnreachable()
        forwarder.onTimer(nowMillis)
        router.onTimer(nowMillis)
        configuration.onTimer(nowMillis)
        pool.onTimer(nowMillis)
        runner.onTimer(nowMillis)
        gossip(nowMillis)
    }

    private fun onMemberChanged(change: StateChange) {
        membersChanged = true
        emitter.report(change)
    }

    // Scans all pending forwards, which is too expensive for every timer.
    private fun answerUnreachable() {
        if (!membersChanged) return
        membersChanged = false
        forwarder.answerUnreachable(membership::isReachable)
    }

    private fun gossip(nowMillis: Long) {
        membership.setTasksInFlight(runner.tasksInFlight)
        val peers = membership.takeGossipPeers(nowMillis)
        if (peers.isEmpty()) return
        pool.updateFleetLoad(membership.othersInFlight, nowMillis)
        val digest =
            PeerMessage.Digest(self, memberFacts(nowMillis), pool.takeFacts(), membership.heartbeats(nowMillis))
        peers.forEach { emitter.emit(Effect.SendToPeer(it, digest)) }
    }

    private fun digestReply(
        targets: List<TargetFact>,
        nowMillis: Long,
    ) = PeerMessage.DigestReply(self, memberFacts(nowMillis), targets, membership.heartbeats(nowMillis))

    private fun memberFacts(nowMillis: Long) = membership.facts(configuration.current.version, nowMillis)

    private fun dispatch(
        all: Boolean,
        nowMillis: Long,
    ) = if (all) runner.dispatchAll(nowMillis) else runner.dispatchChanged(nowMillis)

    private val Event.affectsAllServices: Boolean
        get() = this !is Event.Submit && this !is Event.TaskAnswered

    private fun updateShares(): Boolean {
        if (appliedLiveCount == membership.liveCount && appliedRank == membership.rank) return false
        appliedLiveCount = membership.liveCount
        appliedRank = membership.rank
        pool.setEntryInstances(appliedLiveCount, appliedRank)
        quotas.update(configuration.current, appliedLiveCount, appliedRank)
        return true
    }

    private fun earliestTimer(): Long? {
        var earliest = Long.MAX_VALUE
        earliest = minOf(earliest, sessions.nextTimerMillis() ?: Long.MAX_VALUE)
        earliest = minOf(earliest, membership.nextTimerMillis() ?: Long.MAX_VALUE)
        earliest = minOf(earliest, forwarder.nextTimerMillis() ?: Long.MAX_VALUE)
        earliest = minOf(earliest, router.nextTimerMillis() ?: Long.MAX_VALUE)
        earliest = minOf(earliest, configuration.nextTimerMillis() ?: Long.MAX_VALUE)
        earliest = minOf(earliest, pool.nextTimerMillis() ?: Long.MAX_VALUE)
        earliest = minOf(earliest, runner.nextTimerMillis() ?: Long.MAX_VALUE)
        earliest = minOf(earliest, pauseDetector.nextTimerMillis() ?: Long.MAX_VALUE)
        return earliest.takeIf { it != Long.MAX_VALUE }
    }

    private inner class RealConfigurationCallbacks : ConfigurationCallbacks {
        override fun callStore(call: StoreCall): OperationId = emitter.callStore(call)

        override fun send(
            peer: Owner,
            message: PeerMessage,
        ) = emitter.send(peer, message)

        override fun report(change: StateChange) = emitter.report(change)

        override fun configurationChanged(configuration: Configuration) =
            quotas.update(configuration, membership.liveCount, membership.rank)
    }

    private inner class RealDrainCallbacks : DrainCallbacks {
        override fun requestsInProgress(): Int =
            runner.runningJobs + forwarder.pendingForwards + router.pendingClaimCount

        override fun handOverMessages(nowMillis: Long): List<PeerMessage.HandOver> {
            val records = sessions.finishedRecords(nowMillis) + handedOver.recordsWithoutSession(nowMillis)
            return handOverBatches(self, self, sessions.openScopes(nowMillis), records) +
                handedOver.messagesForSuccessor(self, nowMillis)
        }

        override fun finalDigest(nowMillis: Long): PeerMessage = digestReply(emptyList(), nowMillis)
    }

    private companion object {
        const val SESSION_RETRY_MILLIS = 1_000L
    }
}
