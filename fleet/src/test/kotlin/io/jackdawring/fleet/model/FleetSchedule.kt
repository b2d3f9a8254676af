package io.jackdawring.fleet.model

import java.util.SplittableRandom

/** Random jobs and [faults]; the same [seed] gives the same schedule. */
internal class FleetSchedule(
    seed: Long,
    private val faults: List<FleetFault> = RECOVERABLE,
    /** Whether jobs are durable; all of them must then be completed in the end. */
    private val areDurable: Boolean = false,
) {
    private val random = SplittableRandom(seed)
    val fleet =
        FakeFleet(
            domains = random.nextInt(2, 4),
            instancesPerDomain = random.nextInt(1, 4),
            targetsPerDomain = 2,
            random.split(),
        ) { if (random.nextBoolean()) 1.0 else SLOW_CLOCK_RATE }
    private var jobs = 0

    init {
        fleet.targetFaults.lateMillis = { if (random.nextBoolean()) random.nextLong(2_000, 12_000) else null }
    }

    fun play() {
        repeat(STEPS) {
            repeat(random.nextInt(1, 4)) { submitJob() }
            if (random.nextInt(4) == 0) injectFault()
            fleet.run(random.nextLong(20, 200))
        }
        fleet.run(SETTLE_MILLIS)
        fleet.checkRefusals()
        if (areDurable) {
            fleet.run(DURABLE_SETTLE_MILLIS)
            // A job fails if three targets have crashed under one of its tasks.
            fleet.checkCompleted(mayFail = FleetFault.TARGET_RESTARTED in faults)
        }
    }

    private fun submitJob() {
        val domain = fleet.domainNames.pick()
        val estimate = random.nextLong(50, 900)
        val duration = (estimate * (0.5 + 2.5 * random.nextDouble())).toLong()
        val job = FakeFleet.job("j${jobs++}", random.nextInt(1, 4), estimate)
        val instances = { submission: Int ->
            fleet.instances.filter { it.process.alive && !it.draining && (submission > 1 || it.domain == domain) }
        }
        if (areDurable) {
            instances(1).pickOrNull()?.let { fleet.submitDurable(job, it.id, duration) }
        } else {
            fleet.submit(job, domain, duration) { submission -> instances(submission).pickOrNull() }
        }
    }

    private fun injectFault() {
        val any = fleet.instances.pick().id
        // Faults of a holder matter most.
        val instance = if (random.nextBoolean()) any else fleet.holder(fleet.domainNames.pick())?.id ?: any
        val millis = random.nextLong(200, MAX_FAULT_MILLIS)
        val target =
            fleet.targets.keys
                .toList()
                .pick()
        when (faults.pick()) {
            FleetFault.INSTANCE_KILLED -> fleet.kill(instance, millis)
            FleetFault.INSTANCE_FROZEN ->
                fleet.freeze(instance, millis, clockCounts = true, messagesFirst = random.nextBoolean())
            FleetFault.INSTANCE_SUSPENDED ->
                fleet.freeze(instance, millis, clockCounts = false, messagesFirst = random.nextBoolean())
            FleetFault.INSTANCE_DRAINED -> fleet.drain(instance)
            FleetFault.PEERS_CUT_OFF -> fleet.cut(instance, fleet.instances.map { it.id }, millis)
            FleetFault.DOMAIN_CUT_OFF -> cutDomain(fleet.domainNames.pick(), millis)
            FleetFault.STORE_CUT_OFF -> fleet.cut(instance, listOf(FakeLinks.STORE), millis)
            FleetFault.STORE_SLOW -> fleet.slowStore(millis)
            FleetFault.STORE_DOWN -> fleet.stopStore(millis)
            FleetFault.TARGET_SILENT -> fleet.silence(target, millis)
            FleetFault.TARGET_ANSWERS_LOST -> fleet.loseAnswers(target, millis)
            FleetFault.TARGET_RESTARTED -> fleet.restart(target)
            FleetFault.CALLERS_RESET -> fleet.resetCallers(instance)
            FleetFault.TARGETS_LOST -> fleet.targetsOf(fleet.domainNames.first()).forEach(fleet::crashForGood)
        }
    }

    private fun cutDomain(
        domain: String,
        millis: Long,
    ) {
        val (inside, outside) = fleet.instances.partition { it.domain == domain }
        inside.forEach { fleet.cut(it.id, outside.map { other -> other.id } + FakeLinks.STORE, millis) }
    }

    private fun <T> List<T>.pick(): T = this[random.nextInt(size)]

    private fun <T> List<T>.pickOrNull(): T? = if (isEmpty()) null else pick()

    companion object {
        /** Faults after which everything works again. */
        val RECOVERABLE = FleetFault.entries - FleetFault.TARGETS_LOST
        private const val STEPS = 150
        private const val MAX_FAULT_MILLIS = 4_000L
        private const val SLOW_CLOCK_RATE = 0.98

        /** Covers the last submissions and late requests. */
        private const val SETTLE_MILLIS = 15_000L

        /** Covers the time until the jobs of a failure domain without targets and instances may move. */
        private const val DURABLE_SETTLE_MILLIS = 45_000L
    }
}
