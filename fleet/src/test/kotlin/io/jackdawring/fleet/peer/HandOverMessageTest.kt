package io.jackdawring.fleet.peer

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against a successor that takes the arrival of a hand-over for the time at which it was made. */
class HandOverMessageTest {
    private class Row(
        val name: String,
        val sentAtMillis: Long?,
        val stoppedAgoMillis: Long,
        val madeAtMillis: Long,
    )

    @TestFactory
    fun `time to which the contents refer`() =
        listOf(
            Row("not held up", 10_000, 0, 10_000),
            Row("held up", 9_700, 0, 9_700),
            Row("held up for longer than its sender waits", 8_000, 0, 8_000),
            Row("sent in the future, by an estimate", 10_100, 0, 10_000),
            Row("the time of sending is not known", null, 0, 9_500),
            Row("stopped a while ago", 10_000, 300, 9_700),
            Row("stopped a while ago, held up", 9_900, 300, 9_600),
            Row("stopped a while ago, sent in the future, by an estimate", 10_100, 300, 9_700),
            Row("stopped a while ago, the time of sending is not known", null, 300, 9_200),
        ).map { row ->
            DynamicTest.dynamicTest(row.name) {
                val message =
                    MESSAGE.copy(sentAtMillis = row.sentAtMillis, stoppedAgoMillis = row.stoppedAgoMillis)
                assertEquals(row.madeAtMillis, message.madeAtMillis(nowMillis = 10_000, longestMillis = 500))
            }
        }

    /** Guards against an instance of another version whose message says nothing of callers. */
    @Test
    fun `what is known of callers reaches the successor`() {
        val message = MESSAGE.copy(unservedMillis = 120, abandonedJobs = mapOf(JobId("a") to 70L))
        val text = peerJson.encodeToString(HandOverMessage.serializer(), message)
        val handOver = peerJson.decodeFromString(HandOverMessage.serializer(), text).toHandOver()
        assertEquals(120, handOver.unservedMillis)
        assertEquals(mapOf(JobId("a") to 70L), handOver.abandonedJobs)
    }

    private companion object {
        val MESSAGE = HandOverMessage(ShardId(FailureDomainId("a"), 0), revision = 7, targets = emptyList())
    }
}
