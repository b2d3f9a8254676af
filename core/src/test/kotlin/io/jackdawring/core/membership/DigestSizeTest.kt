package io.jackdawring.core.membership

import io.jackdawring.core.StateChange
import kotlin.test.Test
import kotlin.test.assertTrue

class DigestSizeTest {
    /** Guards against digest traffic above the limit of 3 KB/s per instance, and against false suspicions. */
    @Test
    fun `digest traffic of one instance stays below 3 KB per second`() {
        for (size in listOf(9, 20, 30)) {
            val owners = (1..size).map { owner("entry-%02d".format(it), domain = "zone-${it % 7}") }
            val group = GossipGroup(owners)
            group.nodes.values.forEach { it.applyList(instanceList(1, owners), 0) }
            group.runUntil(30_000)
            group.changes.values.forEach { it.clear() }
            group.bytes = 0
            group.messages = 0
            group.runUntil(630_000)
            val bytesPerSecond = group.bytes / 600 / size
            val messagesPerSecond = group.messages / 600.0 / size
            val suspicions =
                group.changes.values.sumOf { log ->
                    log.count { it is StateChange.MemberChanged && it.state == "suspect" }
                }
            val measured =
                "$size instances: $bytesPerSecond B/s and $messagesPerSecond messages/s sent per instance, " +
                    "$suspicions false suspicions in 600 s"
            println(measured)
            assertTrue(bytesPerSecond < 3_000 && messagesPerSecond < 4.1, measured)
            // With at most 16 heartbeats per digest, 30 instances had about 10,000 false suspicions.
            assertTrue(suspicions < 20, measured)
        }
    }
}
