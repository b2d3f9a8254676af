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

/** Runs a schedule of [FuzzStep]s against entry instances in a [FakeCluster] and checks it with the [Oracle]. */
class FuzzRun(
    seed: Long,
    factory: EntryInstance.Factory = EntryInstance.Default,
) {
    private val domains = DOMAIN_NAMES.map(::FailureDomainId)
    val cluster =
        FakeCluster(
            seed,
            domains,
            factory,
            if (seed % 2 == 0L) {
                tightLimits
            } else {
                {}
            },
        )
    val operators = FakeOperators(cluster)
    private val sessions = ArrayList<SessionClaims>()
    private val sent = ArrayList<SentSubmission>()
    private val pending = ArrayList<PendingRequest>()
    private var lastId = 0

    val violations: List<Violation> get() = cluster.oracle.violations

    init {
        cluster.store.publishTestConfiguration()
        domains.forEach { domain ->
            repeat(INSTANCES_PER_DOMAIN) { cluster.addInstance(domain) }
            repeat(TARGETS_PER_DOMAIN) { cluster.addTarget(domain) }
        }
        cluster.advance(SETTLE_MILLIS)
    }

    /** Performs all [steps], ends all faults, lets the requests finish and performs the final checks. */
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
            FuzzAction.CANCEL_BURST -> cancelBurst(step)
            FuzzAction.ADVANCE -> cluster.advance(step.millis)
            FuzzAction.PUBLISH -> operators.publish()
            FuzzAction.KILL -> killUnlessLast(step)
            FuzzAction.PAUSE -> instance(step.first)?.pause()
            FuzzAction.RESUME -> cluster.liveInstances.filter { it.paused }.let { pick(it, step.first)?.resume() }
            FuzzAction.DRAIN -> if (cluster.liveInstances.count { !it.draining } > 1) instance(step.first)?.drain()
            FuzzAction.REPLACE -> replace(step)
            FuzzAction.PARTITION_DOMAINS -> partitionDomains(step)
            FuzzAction.PARTITION_PLATFORM -> partitionPlatform(step)
            FuzzAction.HEAL -> heal()
            FuzzAction.STORE_DOWN -> cluster.store.down = true
            FuzzAction.STORE_LOSES_REPLIES -> cluster.store.loseReplyPercent = LOST_REPLY_PERCENT
            FuzzAction.STORE_SLOW -> cluster.store.extraDelayMillis = step.millis / 4
            FuzzAction.STORE_UP -> storeUp()
            FuzzAction.TARGET_LEAVES -> target(step)?.let { leave(it) }
            FuzzAction.TARGET_CRASHES -> target(step)?.crash()
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
        submit(step, credential, SubmissionId(uuidV7(cluster.clock.nowMillis, ++lastId)))
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
        val tag = "$attempt at ${at.owner.instanceId.value}, ${cluster.clock.nowMillis} ms of $name"
        cluster.oracle.requested(name, tag, submission.tasks.size)
        val dueMillis = cluster.clock.nowMillis + submission.deadlineMillis + ANSWER_MARGIN_MILLIS
        val request = PendingRequest(tag, at, sentSubmission, promisesOnlyAttempt(submission), dueMillis)
        pending.add(request)
        request.id =
            at.submit(
                submission,
                onAnswer = {
                    request.answered = true
                    if (cluster.clock.nowMillis > request.dueMillis && !request.wasPaused) reportLate(request)
                    cluster.oracle.answered(name, tag, it)
                },
                onDisconnected = {
                    request.answered = true
                    cluster.oracle.disconnected(name, tag)
                },
            )
    }

    // A caller that sets firstAttempt promises to send no other request while that one is open.
    private fun disconnectOnlyAttempt(submitted: SentSubmission) =
        pending
            .filter {
                it.submitted === submitted && it.promisesOnlyAttempt && !it.answered
            }.forEach { it.disconnect() }

    private fun promisesOnlyAttempt(submission: Submission) =
        submission.firstAttempt && submission.credential is Credential.IdempotencyKey

    private fun reportLate(request: PendingRequest) {
        cluster.oracle.report(Invariant.ANSWER_IN_TIME, "${request.tag} was answered at ${cluster.clock.nowMillis} ms")
    }

    private fun cancelBurst(step: FuzzStep) {
        val at = instance(step.first) ?: return
        sent.takeLast(BURST_SIZE).forEach { at.cancel(it.submission) }
    }

    private fun killUnlessLast(step: FuzzStep) {
        if (cluster.liveInstances.size > 1) instance(step.first)?.kill()
        cluster.publishList()
    }

    private fun replace(step: FuzzStep) {
        val dead =
            cluster.instances
                .filter { !it.alive }
                .map { it.owner.instanceId.value }
                .distinct()
        val alive = cluster.liveInstances.map { it.owner.instanceId.value }.toSet()
        val id = pick(dead.filterNot { it in alive }, step.first) ?: return
        val domain =
            cluster.instances
                .first { it.owner.instanceId.value == id }
                .owner.failureDomain
        cluster.addInstance(domain, id)
    }

    private fun partitionDomains(step: FuzzStep) {
        cluster.network.setPartitioned(domains[step.first % domains.size], domains[step.second % domains.size], true)
    }

    private fun partitionPlatform(step: FuzzStep) {
        cluster.network.setPlatformPartitioned(domains[step.first % domains.size], true)
    }

    private fun heal() {
        cluster.network.healAll()
        cluster.publishList()
    }

    private fun storeUp() {
        cluster.store.down = false
        cluster.store.loseReplyPercent = 0
        cluster.store.extraDelayMillis = 0
    }

    private fun leave(target: FakeTarget) {
        target.leave()
        cluster.publishList()
    }

    private fun restartTarget(step: FuzzStep) {
        val target =
            cluster.targets.filter { !it.alive || it.leaving || it.failsEverything }.let { pick(it, step.first) }
        if (target == null) return
        if (target.alive) target.crash()
        target.restart()
        cluster.publishList()
    }

    private fun finish() {
        cluster.liveInstances.filter { it.paused }.forEach { it.resume() }
        heal()
        storeUp()
        cluster.advance(CONFIGURATION_LIMIT_MILLIS)
        operators.checkConverged()
        cluster.advance(Submission.MAX_DEADLINE_MILLIS + FINISH_MARGIN_MILLIS)
        pending.filter { !it.answered && it.at.alive }.forEach {
            cluster.oracle.report(Invariant.ANSWER_IN_TIME, "${it.tag} was never answered")
        }
        cluster.startLog.startedTwice().forEach { cluster.oracle.report(Invariant.SINGLE_START, "$it started twice") }
        cluster.liveInstances.filter { it.draining }.forEach {
            cluster.oracle.report(Invariant.GRACEFUL_SHUTDOWN, "${it.owner.instanceId.value} never finished its drain")
        }
    }

    private fun instance(index: Int): FakeInstance? = pick(cluster.liveInstances, index)

    private fun target(step: FuzzStep): FakeTarget? = pick(cluster.targets.filter { it.alive }, step.first)

    private fun <T> pick(
        from: List<T>,
        index: Int,
    ): T? = if (from.isEmpty()) null else from[index % from.size]

    private class SentSubmission(
        val submission: Submission,
    ) {
        val name = Oracle.submissionName(submission.credential.scope, submission.id.value)
        private var attempts = 0

        /** The submission for the next request; only the first one is marked as the first attempt. */
        fun next(): Submission = if (attempts++ == 0) submission else submission.copy { firstAttempt = false }
    }

    private class PendingRequest(
        val tag: String,
        val at: FakeInstance,
        val submitted: SentSubmission,
        val promisesOnlyAttempt: Boolean,
        val dueMillis: Long,
    ) {
        var answered = false
        var id: RequestId? = null

        fun disconnect() {
            id?.let { at.disconnect(it) }
        }

        val wasPaused get() = at.paused || at.everPaused
    }

    private companion object {
        // Makes sessions end, answers be discarded, keys expire and limits be reached within one schedule.
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

        // A forwarded request may wait up to 1 s for an acknowledgement after its deadline.
        const val ANSWER_MARGIN_MILLIS = 1_500L
    }
}

/** UUIDv7 of [nowMillis] in virtual time with [random] as its random part. */
internal fun uuidV7(
    nowMillis: Long,
    random: Int,
): String {
    val unixMillis = FakeCluster.WALL_CLOCK_AT_START_MILLIS + nowMillis
    val time = unixMillis.toString(16).padStart(12, '0')
    return "${time.take(8)}-${time.drop(8)}-7000-8000-${random.toString(16).padStart(12, '0')}"
}
