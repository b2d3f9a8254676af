package io.jackdawring.testing

import io.jackdawring.core.CallerId
import io.jackdawring.core.Credential
import io.jackdawring.core.EntryInstance
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.Payload
import io.jackdawring.core.RequestId
import io.jackdawring.core.SessionClaims
import io.jackdawring.core.Submission
import io.jackdawring.core.SubmissionId
import io.jackdawring.core.TaskSpec
import io.jackdawring.core.submission

/** Runs a schedule of [FuzzStep]s against entry instances in a [FakeWorld] and lets the [Oracle] judge it. */
class FuzzRun(
    seed: Long,
    factory: EntryInstance.Factory = EntryInstance.Default,
) {
    private val domains = DOMAIN_NAMES.map(::FailureDomainId)
    val world =
        FakeWorld(
            seed,
            domains,
            factory,
            if (seed % 2 == 0L) {
                tightLimits
            } else {
                {}
            },
        )
    val operators = FakeOperators(world)
    private val sessions = ArrayList<SessionClaims>()
    private val sent = ArrayList<SentSubmission>()
    private val pending = ArrayList<PendingRequest>()
    private var lastId = 0

    val violations: List<Violation> get() = world.oracle.violations

    init {
        world.store.publishTestConfiguration()
        domains.forEach { domain ->
            repeat(INSTANCES_PER_DOMAIN) { world.addInstance(domain) }
            repeat(TARGETS_PER_DOMAIN) { world.addTarget(domain) }
        }
        world.advance(SETTLE_MILLIS)
    }

    /** Performs all [steps], repairs everything, lets the requests finish and performs the final checks. */
    fun run(steps: List<FuzzStep>) {
        steps.forEach(::perform)
        finish()
    }

    private fun perform(step: FuzzStep) {
        when (step.action) {
            FuzzAction.OPEN_SESSION -> openSession(step)
            FuzzAction.SUBMIT_IN_SESSION -> submitInSession(step)
            FuzzAction.SUBMIT_WITH_KEY -> submitWithKey(step)
            FuzzAction.RESUBMIT -> resubmit(step)
            FuzzAction.RESUBMIT_OTHER_BODY -> resubmitOtherBody(step)
            FuzzAction.SUBMIT_BURST -> repeat(BURST_SIZE) { submitInSession(step.copy(second = step.second + it)) }
            FuzzAction.CANCEL ->
                instance(step.first)?.let { at ->
                    pick(sent, step.second)?.let { at.cancel(it.submission) }
                }
            FuzzAction.CANCEL_WAVE -> cancelWave(step)
            FuzzAction.ADVANCE -> world.advance(step.millis)
            FuzzAction.PUBLISH -> operators.publish()
            FuzzAction.KILL -> killUnlessLast(step)
            FuzzAction.FREEZE -> instance(step.first)?.freeze()
            FuzzAction.RESUME -> world.liveInstances.filter { it.frozen }.let { pick(it, step.first)?.resume() }
            FuzzAction.DRAIN -> if (world.liveInstances.count { !it.draining } > 1) instance(step.first)?.drain()
            FuzzAction.REPLACE -> replace(step)
            FuzzAction.CUT_DOMAINS -> cutDomains(step)
            FuzzAction.CUT_PLATFORM -> cutPlatform(step)
            FuzzAction.HEAL -> heal()
            FuzzAction.STORE_DOWN -> world.store.down = true
            FuzzAction.STORE_LOSES_REPLIES -> world.store.loseReplyPercent = LOST_REPLY_PERCENT
            FuzzAction.STORE_SLOW -> world.store.extraDelayMillis = step.millis / 4
            FuzzAction.STORE_UP -> storeUp()
            FuzzAction.TARGET_LEAVES -> target(step)?.let { leave(it) }
            FuzzAction.TARGET_DIES -> target(step)?.die()
            FuzzAction.TARGET_FAILS_EVERYTHING -> target(step)?.failsEverything = true
            FuzzAction.TARGET_STRAGGLES -> target(step)?.runMillis = { it.nextLong(MAX_STRAGGLER_MILLIS) }
            FuzzAction.TARGET_RESTARTS -> restartTarget(step)
        }
    }

    private fun openSession(step: FuzzStep) {
        instance(step.first)?.openSession(CallerId("house-${step.second % CALLERS}")) {
            if (it !=
                null
            ) {
                sessions.add(it)
            }
        }
    }

    private fun submitInSession(step: FuzzStep) {
        val claims = pick(sessions, step.second) ?: return openSession(step)
        submit(step, Credential.Session(claims), SubmissionId("submission-${++lastId}"))
    }

    private fun submitWithKey(step: FuzzStep) {
        val credential = Credential.IdempotencyKey(CallerId("house-${step.second % CALLERS}"))
        submit(step, credential, SubmissionId(uuidV7(world.clock.nowMillis, ++lastId)))
    }

    private fun submit(
        step: FuzzStep,
        credential: Credential,
        id: SubmissionId,
    ) {
        val at = instance(step.first) ?: return
        val tasks = if (step.second % LARGE_JOB_EVERY == 0) LARGE_JOB_TASKS else 1 + step.second % MAX_SMALL_JOB_TASKS
        val submission =
            submission(id, credential) {
                service = TestConfiguration.SERVICE
                kind = TestConfiguration.KINDS[step.second % TestConfiguration.KINDS.size]
                deadlineMillis = DEADLINES_MILLIS[step.second % DEADLINES_MILLIS.size]
                fingerprint = id.value
                firstAttempt = true
                tasks(List(tasks) { TaskSpec(Payload.of("$it")) })
            }
        val submitted = SentSubmission(submission)
        sent.add(submitted)
        send(at, submitted)
    }

    private fun resubmit(step: FuzzStep) {
        val at = instance(step.first) ?: return
        val submitted = pick(sent, step.second) ?: return
        disconnectOnlyAttempt(submitted)
        send(at, submitted)
    }

    private fun resubmitOtherBody(step: FuzzStep) {
        val at = instance(step.first) ?: return
        val original = pick(sent, step.second) ?: return
        disconnectOnlyAttempt(original)
        send(at, original, original.next().copy { fingerprint = "other" })
    }

    private fun send(
        at: FakeInstance,
        sentSubmission: SentSubmission,
        submission: Submission = sentSubmission.next(),
    ) {
        val name = sentSubmission.name
        val attempt = if (submission.firstAttempt) "first attempt" else "attempt"
        val tag = "$attempt at ${at.owner.instanceId.value}, ${world.clock.nowMillis} ms of $name"
        world.oracle.requested(name, tag, submission.tasks.size)
        val dueMillis = world.clock.nowMillis + submission.deadlineMillis + ANSWER_MARGIN_MILLIS
        val request = PendingRequest(tag, at, sentSubmission, statesOnlyAttempt(submission), dueMillis)
        pending.add(request)
        request.id =
            at.submit(
                submission,
                onAnswer = {
                    request.answered = true
                    if (world.clock.nowMillis > request.dueMillis && !request.wasFrozen) late(request)
                    world.oracle.answered(name, tag, it)
                },
                onDisconnected = {
                    request.answered = true
                    world.oracle.disconnected(name, tag)
                },
            )
    }

    // A caller that states a first attempt promises to send no other one while that request is open.
    private fun disconnectOnlyAttempt(submitted: SentSubmission) =
        pending
            .filter {
                it.submitted === submitted && it.statesOnlyAttempt && !it.answered
            }.forEach { it.disconnect() }

    private fun statesOnlyAttempt(submission: Submission) =
        submission.firstAttempt && submission.credential is Credential.IdempotencyKey

    private fun late(request: PendingRequest) {
        world.oracle.report(Invariant.ANSWER_IN_TIME, "${request.tag} was answered at ${world.clock.nowMillis} ms")
    }

    private fun cancelWave(step: FuzzStep) {
        val at = instance(step.first) ?: return
        sent.takeLast(BURST_SIZE).forEach { at.cancel(it.submission) }
    }

    private fun killUnlessLast(step: FuzzStep) {
        if (world.liveInstances.size > 1) instance(step.first)?.kill()
        world.publishList()
    }

    private fun replace(step: FuzzStep) {
        val dead =
            world.instances
                .filter { !it.alive }
                .map { it.owner.instanceId.value }
                .distinct()
        val alive = world.liveInstances.map { it.owner.instanceId.value }.toSet()
        val id = pick(dead.filterNot { it in alive }, step.first) ?: return
        val domain =
            world.instances
                .first { it.owner.instanceId.value == id }
                .owner.failureDomain
        world.addInstance(domain, id)
    }

    private fun cutDomains(step: FuzzStep) {
        world.network.setCut(domains[step.first % domains.size], domains[step.second % domains.size], true)
    }

    private fun cutPlatform(step: FuzzStep) {
        world.network.setPlatformCut(domains[step.first % domains.size], true)
    }

    private fun heal() {
        world.network.healAll()
        world.publishList()
    }

    private fun storeUp() {
        world.store.down = false
        world.store.loseReplyPercent = 0
        world.store.extraDelayMillis = 0
    }

    private fun leave(target: FakeTarget) {
        target.leave()
        world.publishList()
    }

    private fun restartTarget(step: FuzzStep) {
        val target = world.targets.filter { !it.alive || it.leaving || it.failsEverything }.let { pick(it, step.first) }
        if (target == null) return
        if (target.alive) target.die()
        target.restart()
        world.publishList()
    }

    private fun finish() {
        world.liveInstances.filter { it.frozen }.forEach { it.resume() }
        heal()
        storeUp()
        world.advance(CONFIGURATION_LIMIT_MILLIS)
        operators.checkConverged()
        world.advance(Submission.MAX_DEADLINE_MILLIS + FINISH_MARGIN_MILLIS)
        pending.filter { !it.answered && it.at.alive }.forEach {
            world.oracle.report(Invariant.ANSWER_IN_TIME, "${it.tag} was never answered")
        }
        world.startLog.startedTwice().forEach { world.oracle.report(Invariant.SINGLE_START, "$it started twice") }
        world.liveInstances.filter { it.draining }.forEach {
            world.oracle.report(Invariant.GRACEFUL_SHUTDOWN, "${it.owner.instanceId.value} never finished its drain")
        }
    }

    private fun instance(index: Int): FakeInstance? = pick(world.liveInstances, index)

    private fun target(step: FuzzStep): FakeTarget? = pick(world.targets.filter { it.alive }, step.first)

    private fun <T> pick(
        from: List<T>,
        index: Int,
    ): T? = if (from.isEmpty()) null else from[index % from.size]

    private class SentSubmission(
        val submission: Submission,
    ) {
        val name = Oracle.submissionName(submission.credential.scope, submission.id.value)
        private var attempts = 0

        /** The submission as it is sent next; only the first time as a first attempt. */
        fun next(): Submission = if (attempts++ == 0) submission else submission.copy { firstAttempt = false }
    }

    private class PendingRequest(
        val tag: String,
        val at: FakeInstance,
        val submitted: SentSubmission,
        val statesOnlyAttempt: Boolean,
        val dueMillis: Long,
    ) {
        var answered = false
        var id: RequestId? = null

        fun disconnect() {
            id?.let { at.disconnect(it) }
        }

        val wasFrozen get() = at.frozen || at.everFrozen
    }

    private companion object {
        // Reaches ends of sessions, discarded answers, old keys and exhausted bounds within one schedule.
        val tightLimits: EntryOptions.Builder.() -> Unit = {
            sessionLifetimeMillis = 20_000
            answerRetentionMillis = 4_000
            maxRecords = 150
            maxSubmissionsPerSession = 25
            maxQueuedTasks = 400
            claimMaxKeyAgeMillis = 15_000
            claimClockSkewMillis = 1_000
            claimRatePerSecond = 3
        }
        val DOMAIN_NAMES = listOf("a", "b", "c")
        val DEADLINES_MILLIS = listOf(500L, 2_000L, 10_000L, 60_000L)
        const val INSTANCES_PER_DOMAIN = 2
        const val TARGETS_PER_DOMAIN = 2
        const val CALLERS = 5
        const val BURST_SIZE = 20
        const val LARGE_JOB_EVERY = 11
        const val LARGE_JOB_TASKS = 120
        const val MAX_SMALL_JOB_TASKS = 6
        const val LOST_REPLY_PERCENT = 30
        const val MAX_STRAGGLER_MILLIS = 8_000L
        const val SETTLE_MILLIS = 5_000L
        const val CONFIGURATION_LIMIT_MILLIS = 4_000L
        const val FINISH_MARGIN_MILLIS = 15_000L

        // A forwarded request may wait for an acknowledgement (1 s) after the time that its deadline allows.
        const val ANSWER_MARGIN_MILLIS = 1_500L
    }
}

/** UUIDv7 of [nowMillis] in virtual time with [random] as its random part. */
internal fun uuidV7(
    nowMillis: Long,
    random: Int,
): String {
    val unixMillis = FakeWorld.WALL_CLOCK_AT_START_MILLIS + nowMillis
    val time = unixMillis.toString(16).padStart(12, '0')
    return "${time.take(8)}-${time.drop(8)}-7000-8000-${random.toString(16).padStart(12, '0')}"
}
