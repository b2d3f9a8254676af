package io.jackdawring.testing

import io.jackdawring.core.InstanceList
import io.jackdawring.core.StateChange
import io.jackdawring.core.configuration.Confirmation
import io.jackdawring.core.configuration.ConfirmationTracker
import io.jackdawring.core.configuration.Publication
import io.jackdawring.core.configuration.PublicationResult
import io.jackdawring.core.configuration.PublicationStep

/** Publishes configurations concurrently and checks that the reported results match what the instances apply. */
class FakeOperators(
    private val cluster: FakeCluster,
) {
    private var lastPublish = 0
    private val applied = HashMap<FakeInstance, Long>()

    /** Highest version that was reported to an operator as in force everywhere. */
    var acceptedVersion = 0L
        private set

    /** Number of publications by their result. */
    val results = HashMap<String, Int>()

    init {
        cluster.onChange { instance, change ->
            if (change is StateChange.ConfigurationApplied) onApplied(instance, change.version)
        }
    }

    /** Starts a publication that changes the quota of the test service. */
    fun publish() {
        val id = ++lastPublish
        val service = TestConfiguration.service.copy(quotaTasks = BASE_QUOTA + id)
        val publication = Publication(listOf(service), "operator-$id", "fuzz-$id", setOf(TestConfiguration.TEAM))
        proceed(publication, publication.start())
    }

    /** Reports a violation for every live instance that does not have the version of the head in the store. */
    fun checkConverged() {
        val head = checkNotNull(cluster.store.head()) { "the head is malformed" }
        for (instance in cluster.liveInstances.filterNot { it.draining }) {
            val version = instance.snapshot().configurationVersion
            if (version != head.version) {
                val detail = "${instance.owner.instanceId.value} has version $version instead of ${head.version}"
                cluster.oracle.report(Invariant.CONFIGURATION, detail)
            }
        }
    }

    private fun proceed(
        publication: Publication,
        step: PublicationStep,
    ) {
        when (step) {
            is PublicationStep.Call ->
                cluster.clock.schedule(step.delayMillis) {
                    cluster.store.call(step.call, { true }) { proceed(publication, publication.onAnswered(it)) }
                }
            is PublicationStep.Finished -> finished(step.result)
        }
    }

    private fun finished(result: PublicationResult) {
        results.merge(result::class.simpleName.orEmpty(), 1, Int::plus)
        if (result is PublicationResult.Committed) confirm(result.version, cluster.clock.nowMillis + WAIT_MILLIS)
    }

    private fun confirm(
        version: Long,
        untilMillis: Long,
    ) {
        val tracker = ConfirmationTracker(version)
        val list: InstanceList = cluster.publishedList
        for (instance in cluster.liveInstances.filterNot { it.paused }) {
            if (cluster.network.reachesPlatform(instance.owner.failureDomain)) {
                tracker.reported(instance.owner.instanceId, instance.snapshot().configurationVersion)
            }
        }
        when {
            tracker.check(list) == Confirmation.Accepted -> accepted(version)
            cluster.clock.nowMillis < untilMillis ->
                cluster.clock.schedule(POLL_MILLIS) { confirm(version, untilMillis) }
            else -> results.merge("Pending", 1, Int::plus)
        }
    }

    private fun accepted(version: Long) {
        results.merge("Accepted", 1, Int::plus)
        acceptedVersion = maxOf(acceptedVersion, version)
        cluster.liveInstances.forEach { checkNotBehind(it, it.snapshot().configurationVersion) }
    }

    private fun onApplied(
        instance: FakeInstance,
        version: Long,
    ) {
        val before = applied.put(instance, version) ?: 0
        if (version <= before) {
            val detail = "${instance.owner.instanceId.value} went from version $before to $version"
            cluster.oracle.report(Invariant.CONFIGURATION, detail)
        }
        checkNotBehind(instance, version)
    }

    // An instance with version 0 is not ready and accepts no jobs yet.
    private fun checkNotBehind(
        instance: FakeInstance,
        version: Long,
    ) {
        if (version in 1 until acceptedVersion) {
            val name = instance.owner.instanceId.value
            val detail = "$name has version $version although $acceptedVersion was accepted"
            cluster.oracle.report(Invariant.CONFIGURATION, detail)
        }
    }

    private companion object {
        const val BASE_QUOTA = 100_000
        const val WAIT_MILLIS = 4_000L
        const val POLL_MILLIS = 200L
    }
}
