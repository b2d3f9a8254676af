package io.jackdawring.load.bench

import io.jackdawring.core.AttemptId
import io.jackdawring.core.CallerId
import io.jackdawring.core.Credential
import io.jackdawring.core.Effect
import io.jackdawring.core.EffectSink
import io.jackdawring.core.EntryInstance
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.Event
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.Outcome
import io.jackdawring.core.Owner
import io.jackdawring.core.Payload
import io.jackdawring.core.RequestId
import io.jackdawring.core.SessionClaims
import io.jackdawring.core.SubmissionId
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TaskSpec
import io.jackdawring.core.entryOptions
import io.jackdawring.core.submission

/** An [EntryInstance] on virtual time with a scripted store; messages and starts are collected for the benchmark. */
internal class ScriptedInstance(
    private val store: ScriptedStore,
    index: Int = 0,
    configure: EntryOptions.Builder.() -> Unit = {},
) {
    val self = owner(index)
    private val core = EntryInstance.Default.create(entryOptions(self) { configure() })
    private var openWatch: OpenWatch? = null
    private val storeCalls = ArrayDeque<Effect.CallStore>()
    private var requests = 0L
    private var claims: SessionClaims? = null
    private val sink = EffectSink(::perform)

    /** Starts without an answer, oldest first. */
    val started = ArrayDeque<AttemptId>()

    /** Messages to peers that are not delivered yet. */
    val messages = ArrayDeque<Effect.SendToPeer>()

    var nowMillis = 0L
    var events = 0L
        private set
    var starts = 0L
        private set
    var openJobs = 0
        private set
    var notComplete = 0L
        private set

    /** Last outcome other than a complete answer, for error messages. */
    var lastProblem: Outcome? = null
        private set

    fun handle(event: Event) {
        apply(event)
        while (storeCalls.isNotEmpty()) {
            val effect = storeCalls.removeFirst()
            val answer = store.answer(effect.call)
            if (answer == null) {
                openWatch = OpenWatch(effect.operationId, effect.call)
            } else {
                apply(Event.StoreAnswered(effect.operationId, answer))
            }
        }
    }

    private fun apply(event: Event) {
        events++
        core.handle(event, nowMillis, sink)
    }

    /** Delivers due timers. */
    fun runTimers() {
        val dueMillis = core.nextTimerMillis() ?: return
        if (dueMillis <= nowMillis) handle(Event.TimerFired)
    }

    /** Answers the open watch if the store has changed. */
    fun answerChangedWatch() {
        val watch = openWatch ?: return
        val answer = store.answer(watch.call) ?: return
        openWatch = null
        handle(Event.StoreAnswered(watch.operationId, answer))
    }

    fun snapshot() = core.snapshot()

    fun openSession(caller: String = "caller") = handle(Event.OpenSession(RequestId(requests++), CallerId(caller)))

    /** Submits a job of [tasks] in the most recently opened session. */
    fun submit(
        service: String,
        tasks: List<TaskSpec>,
    ) {
        val id = requests++
        openJobs++
        val submission =
            submission(SubmissionId("job-$id"), Credential.Session(checkNotNull(claims) { "no session was granted" })) {
                this.service = service
                kind = ScriptedStore.KIND
                deadlineMillis = MAX_DEADLINE_MILLIS
                fingerprint = "0123456789abcdef0123456789abcdef"
                tasks(tasks)
            }
        handle(Event.Submit(RequestId(id), submission))
    }

    /** Answers the oldest start with success. */
    fun answerOldest(result: Payload = RESULT) {
        handle(Event.TaskAnswered(started.removeFirst(), TargetAnswer.Succeeded(result)))
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is Effect.StartTask -> {
                starts++
                started.addLast(effect.attemptId)
            }
            is Effect.Answer -> {
                openJobs--
                if (effect.outcome !is Outcome.Complete) {
                    notComplete++
                    lastProblem = effect.outcome
                }
            }
            is Effect.CallStore -> storeCalls.addLast(effect)
            is Effect.SendToPeer -> messages.addLast(effect)
            is Effect.GrantSession -> claims = effect.claims
            else -> Unit
        }
    }

    companion object {
        const val MAX_DEADLINE_MILLIS = 60_000L
        val RESULT = Payload.of("""{"ok":true,"detail":"0123456789012345678901234567890123456789"}""")

        fun owner(index: Int) =
            Owner(InstanceId("entry-%02d".format(index)), 1_764_000_000_000, "10.0.0.$index:7420", domain(index))

        private fun domain(index: Int) = FailureDomainId("zone-${index % FAILURE_DOMAINS}")

        /** An instance list in which each of [teams] services has at least 8 targets, or all if there are fewer. */
        fun instanceList(
            targets: Int,
            teams: Int,
            entries: Int = 0,
        ): InstanceList {
            val totalRegistrations = teams * TARGETS_PER_SERVICE
            val perTarget = minOf(teams, maxOf(TARGETS_PER_SERVICE, (totalRegistrations + targets - 1) / targets))
            minOf(
                teams,
                maxOf(
                    TARGETS_PER_SERVICE,
                    (teams * TARGETS_PER_SERVICE + targets - 1) / targets,
                ),
            )
            val listedTargets =
                List(targets) { index ->
                    ListedInstance(
                        "target-$index",
                        InstanceRole.TARGET,
                        domain(index),
                        "10.1.${index / ADDRESSES_PER_SUBNET}.${index % ADDRESSES_PER_SUBNET}:7001",
                        services = List(perTarget) { ScriptedStore.service((index * perTarget + it) % teams) },
                    )
                }
            val listedEntries =
                List(entries) { index ->
                    val owner = owner(index)
                    ListedInstance(owner.instanceId.value, InstanceRole.ENTRY, owner.failureDomain, owner.peerAddress)
                }
            return InstanceList(1, listedTargets + listedEntries)
        }

        private const val FAILURE_DOMAINS = 7
        private const val TARGETS_PER_SERVICE = 8
        private const val ADDRESSES_PER_SUBNET = 250
    }
}
