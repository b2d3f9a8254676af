package io.jackdawring.testing

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.Outcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class IdleFleetTest {
    /** Guards against a large job that waits for its own first tasks while the slots of other instances are idle. */
    @Test
    fun `a large job uses the idle slots of the whole fleet at once`() {
        val cluster = FakeCluster(SEED, listOf("a", "b", "c").map(::FailureDomainId))
        cluster.store.publishTestConfiguration()
        cluster.domains.forEach { domain ->
            repeat(INSTANCES_PER_DOMAIN) { cluster.addInstance(domain) }
            repeat(TARGETS_PER_DOMAIN) { cluster.addTarget(domain) }
        }
        cluster.targets.forEach { target -> target.runMillis = { RUN_MILLIS } }
        cluster.advance(SETTLE_MILLIS)
        val caller = FakeCaller(cluster)
        for (instance in cluster.instances) {
            val request = caller.submit(instance, caller.newSubmission(caller.openSession(instance), TASKS))
            cluster.advance(SETTLE_MILLIS)
            assertIs<Outcome.Complete>(request.outcome)
            val slowdown = checkNotNull(request.answeredAfterMillis).toDouble() / RUN_MILLIS
            assertTrue(slowdown <= MAX_SLOWDOWN, "${instance.owner.instanceId.value}: slowdown $slowdown")
        }
        assertEquals(0, cluster.targets.sumOf { it.busyRefusals })
    }

    private companion object {
        const val SEED = 3L
        const val INSTANCES_PER_DOMAIN = 3
        const val TARGETS_PER_DOMAIN = 10
        const val TASKS = 100
        const val RUN_MILLIS = 1_000L
        const val SETTLE_MILLIS = 20_000L

        // The design's limit at 80% load; an idle fleet must not be slower.
        const val MAX_SLOWDOWN = 1.05
    }
}
