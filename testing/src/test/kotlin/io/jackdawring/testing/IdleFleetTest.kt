package io.jackdawring.testing

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.Outcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class IdleFleetTest {
    /** Guards against a large job that waits for its own first tasks although the slots of the others are idle. */
    @Test
    fun `a large job uses the idle slots of the whole fleet at once`() {
        val world = FakeWorld(SEED, listOf("a", "b", "c").map(::FailureDomainId))
        world.store.publishTestConfiguration()
        world.domains.forEach { domain ->
            repeat(INSTANCES_PER_DOMAIN) { world.addInstance(domain) }
            repeat(TARGETS_PER_DOMAIN) { world.addTarget(domain) }
        }
        world.targets.forEach { target -> target.runMillis = { RUN_MILLIS } }
        world.advance(SETTLE_MILLIS)
        val caller = FakeCaller(world)
        for (instance in world.instances) {
            val request = caller.submit(instance, caller.newSubmission(caller.openSession(instance), TASKS))
            world.advance(SETTLE_MILLIS)
            assertIs<Outcome.Complete>(request.outcome)
            val slowdown = checkNotNull(request.answeredAfterMillis).toDouble() / RUN_MILLIS
            assertTrue(slowdown <= MAX_SLOWDOWN, "${instance.owner.instanceId.value}: slowdown $slowdown")
        }
        assertEquals(0, world.targets.sumOf { it.busyRefusals })
    }

    private companion object {
        const val SEED = 3L
        const val INSTANCES_PER_DOMAIN = 3
        const val TARGETS_PER_DOMAIN = 10
        const val TASKS = 100
        const val RUN_MILLIS = 1_000L
        const val SETTLE_MILLIS = 20_000L

        // The design page's aim at 80% load; an idle fleet must not be worse.
        const val MAX_SLOWDOWN = 1.05
    }
}
