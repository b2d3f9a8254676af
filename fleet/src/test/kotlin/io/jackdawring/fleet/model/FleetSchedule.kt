package io.jackdawring.fleet.model

import java.util.SplittableRandom

/** Random jobs and [faults]; the same [seed] gives the same schedule. */
internal class FleetSchedule(
    seed: Long,
    private val faults: List<FleetFault> = FleetFault.entries,
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
    }

    private fun submitJob() {
        val domain = fleet.domainNames.pick()
        val estimate = random.nextLong(50, 900)
        val duration = (estimate * (0.5 + 2.5 * random.nextDouble())).toLong()
        fleet.submit(FakeFleet.job("j${jobs++}", random.nextInt(1, 4), estimate), domain, duration) { submission ->
            fleet.instances
                .filter { it.process.alive && !it.draining && (submission > 1 || it.domain == domain) }
                .pickOrNull()
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

    private companion object {
        const val STEPS = 150
        const val MAX_FAULT_MILLIS = 4_000L
        const val SLOW_CLOCK_RATE = 0.98

        /** Covers the last submissions and late requests. */
        const val SETTLE_MILLIS = 15_000L
    }
}
