package io.jackdawring.testing

import io.jackdawring.core.Effect
import io.jackdawring.core.EntryInstance
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.Event
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.ListedState
import io.jackdawring.core.NotStartedReason
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.entryOptions
import kotlin.random.Random

/** Entry instances with fakes of their targets, peers, network, store and platform, on one virtual clock. */
class FakeCluster(
    seed: Long,
    val domains: List<FailureDomainId>,
    private val factory: EntryInstance.Factory = EntryInstance.Default,
    private val customize: EntryOptions.Builder.() -> Unit = {},
) {
    val clock = VirtualClock()
    val random = Random(seed)
    val network = FakeNetwork(clock, random)
    val startLog = StartLog()
    val oracle = Oracle()
    val store = FakeStoreConnection(clock, random)
    val instances = ArrayList<FakeInstance>()
    val targets = ArrayList<FakeTarget>()

    /** Maximum delay in milliseconds with which instances receive the platform's list. */
    var maxListLagMillis: Long = 1_000
    private var listVersion = 0L
    private var incarnations = 0L

    init {
        startLog.onStart(oracle::started)
    }

    val liveInstances: List<FakeInstance> get() = instances.filter { it.alive }

    fun addInstance(
        domain: FailureDomainId,
        id: String = "entry-${instances.size}",
    ): FakeInstance {
        val incarnation = ++incarnations
        val owner = Owner(InstanceId(id), incarnation, "$id-$incarnation:1", domain)
        val options =
            entryOptions(owner) {
                seed = random.nextLong()
                customize()
                val skewMillis = claimClockSkewMillis / 2
                wallClockOffsetMillis = WALL_CLOCK_AT_START_MILLIS + random.nextLong(-skewMillis, skewMillis + 1)
            }
        val instance = FakeInstance(options, factory, this)
        instances.add(instance)
        instance.deliver(Event.TimerFired)
        publishList()
        return instance
    }

    fun addTarget(
        domain: FailureDomainId,
        slots: Int = 8,
    ): FakeTarget {
        val target = FakeTarget("target-${targets.size}", domain, slots, clock, random, startLog)
        targets.add(target)
        publishList()
        return target
    }

    /** The latest list of the platform. */
    var publishedList = InstanceList(0, emptyList())
        private set

    /** Publishes the current list of instances; each entry instance receives it after a random delay. */
    fun publishList() {
        val list = InstanceList(++listVersion, listedInstances() + targets.filter { it.alive }.map { it.listed() })
        publishedList = list
        for (instance in liveInstances) {
            clock.schedule(random.nextLong(maxListLagMillis)) {
                if (network.reachesPlatform(instance.owner.failureDomain)) instance.deliver(Event.InstancesListed(list))
            }
        }
    }

    /** Advances the virtual time by [millis]. */
    fun advance(millis: Long) = clock.advance(millis)

    internal fun onInstanceExited() {
        publishList()
    }

    internal fun report(
        instance: FakeInstance,
        change: StateChange,
    ) {
        changeListeners.forEach { it(instance, change) }
    }

    private val changeListeners = ArrayList<(FakeInstance, StateChange) -> Unit>()

    /** Calls [listener] for each reported change of state. */
    fun onChange(listener: (FakeInstance, StateChange) -> Unit) {
        changeListeners.add(listener)
    }

    internal fun sendToPeer(
        sender: FakeInstance,
        effect: Effect.SendToPeer,
    ) {
        val from = sender.owner.failureDomain
        val receiver = instances.lastOrNull { it.owner.peerAddress == effect.peerAddress }
        if (receiver == null || !receiver.alive) {
            network.deliver(from, from) { sender.deliver(Event.PeerSendFailed(effect.peerAddress, effect.message)) }
            return
        }
        val to = receiver.owner.failureDomain
        var reported = false
        val reportOnce = { event: Event ->
            if (!reported) {
                reported = true
                sender.deliver(event)
            }
        }
        network.deliver(from, to) {
            receiver.whenRunning {
                receiver.deliver(Event.PeerMessageReceived(effect.message))
                network.deliver(to, from) { reportOnce(Event.PeerSendAcknowledged(effect.peerAddress, effect.message)) }
            }
        }
        clock.schedule(PEER_TIMEOUT_MILLIS) { reportOnce(Event.PeerSendFailed(effect.peerAddress, effect.message)) }
    }

    internal fun callStore(
        caller: FakeInstance,
        effect: Effect.CallStore,
    ) {
        val isReachable = { network.reachesPlatform(caller.owner.failureDomain) }
        store.call(effect.call, isReachable) { answer: StoreAnswer ->
            caller.deliver(Event.StoreAnswered(effect.operationId, answer))
        }
    }

    internal fun startTask(
        sender: FakeInstance,
        effect: Effect.StartTask,
        connection: TaskConnection,
        onAnswer: (TargetAnswer) -> Unit,
    ) {
        val from = sender.owner.failureDomain
        val target = targets.first { it.address == effect.targetAddress }
        if (!network.isConnected(from, target.failureDomain)) {
            clock.schedule(CONNECT_TIMEOUT_MILLIS) {
                onAnswer(TargetAnswer.NotStarted(NotStartedReason.UNREACHABLE))
            }
            return
        }
        connection.onClose { network.deliver(from, target.failureDomain) { target.disconnect(connection) } }
        // A task in transit when a partition begins is reported as lost after a timeout, as it would be with TCP.
        clock.schedule(effect.remainingMillis + LOST_MARGIN_MILLIS) { onAnswer(TargetAnswer.Lost("no answer")) }
        network.deliver(from, target.failureDomain) {
            if (!connection.closed) {
                checkLeaving(sender, target)
                target.start(effect, connection) { answer ->
                    network.deliver(target.failureDomain, from) { onAnswer(answer) }
                }
            }
        }
    }

    // During a partition, an instance may be unable to learn that the target is leaving.
    private fun checkLeaving(
        sender: FakeInstance,
        target: FakeTarget,
    ) {
        val leavingSince = target.leavingSinceMillis ?: return
        val healedSince = network.healedSinceMillis ?: return
        val knownForMillis = clock.nowMillis - maxOf(leavingSince, healedSince, sender.startedAtMillis)
        if (target.alive && knownForMillis > LEAVING_LIMIT_MILLIS) {
            val detail = "${sender.owner.instanceId.value} sent a task to ${target.id} $knownForMillis ms after it left"
            oracle.report(Invariant.LEAVING_TARGET, detail)
        }
    }

    // A draining instance removes itself from the list only when it exits.
    private fun listedInstances(): List<ListedInstance> =
        liveInstances.map {
            ListedInstance(
                id = it.owner.instanceId.value,
                role = InstanceRole.ENTRY,
                failureDomain = it.owner.failureDomain,
                address = it.owner.peerAddress,
                state = if (it.draining) ListedState.LEAVING else ListedState.LIVE,
            )
        }

    companion object {
        /** Unix time in milliseconds at virtual time 0. */
        const val WALL_CLOCK_AT_START_MILLIS = 1_790_000_000_000L
        private const val LEAVING_LIMIT_MILLIS = 3_000L
        private const val PEER_TIMEOUT_MILLIS = 1_000L
        private const val CONNECT_TIMEOUT_MILLIS = 500L
        private const val LOST_MARGIN_MILLIS = 1_000L
    }
}
