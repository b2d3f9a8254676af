package io.jackdawring.fleet.model

import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.StoreChange
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against shards that what the store says of earlier, possibly cut off holders slows down or hides. */
class HoldingHistoryTest {
    private fun fleet() = FakeFleet(domains = 3, instancesPerDomain = 2, targetsPerDomain = 2)

    /** Another domain adopts the shard of a domain that has crashed, and hands it back; nobody speaks for the holder. */
    private fun FakeFleet.crashDomain() {
        listOf("a1", "a2").forEach { kill(it, restartAfterMillis = 18_000) }
        run(60_000)
    }

    /** Time until a stored job, which the domain cannot run, is done elsewhere after a graceful hand-over. */
    private fun FakeFleet.moveMillis(): Long {
        val holder = assertNotNull(holder("a")).id
        val job = FakeFleet.job("k", tasks = 2, estimateMillis = 500)
        targetsOf("a").forEach(::crashForGood)
        run(200)
        submitDurable(job, holder, durationMillis = 500)
        run(300)
        drain(holder)
        val begin = clock.nowMillis
        while (storedJobs()[job.id]?.second?.isEnded != true && clock.nowMillis - begin < 60_000) run(100)
        return clock.nowMillis - begin
    }

    @Test
    fun `a domain that crashed a minute ago moves its stored jobs as fast as another`() {
        val usual = fleet().apply { run(60_000) }.moveMillis()
        val crashed = fleet().apply { crashDomain() }.moveMillis()
        assertTrue(crashed < usual + TOLERANCE_MILLIS, "never crashed: $usual ms, crashed a minute ago: $crashed ms")
    }

    @Test
    fun `a shard with an odd history is claimed when its holder is killed`() =
        listOf("\"x\"", "-1", "99999999", "1e99", "null").forEach { value ->
            val fleet = fleet()
            val key = "${FleetKeys.SHARDS}a/0"
            val stored =
                fleet.store.items
                    .getValue(key)
                    .value
                    .decodeToString()
            val odd = stored.replace("}", ",\"cutOffRevision\":$value}").encodeToByteArray()
            fleet.store.commit(StoreChange(writes = persistentListOf(StoreChange.Write(key, odd))))
            fleet.run(3_000)
            fleet.kill("a1")
            fleet.run(10_000)
            assertEquals("a2", fleet.holder("a")?.id, "holder after the value $value")
        }

    private companion object {
        /** Far below the time for which a cut off holder runs stored jobs. */
        const val TOLERANCE_MILLIS = 5_000L
    }
}
