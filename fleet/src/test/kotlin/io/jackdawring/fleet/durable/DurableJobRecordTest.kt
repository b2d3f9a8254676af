package io.jackdawring.fleet.durable

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.StepSpec
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against records that grow by fields that their job does not use. */
class DurableJobRecordTest {
    @TestFactory
    fun `the image of a step is stored only if it is known`() =
        mapOf(null to false, "decode" to true).map { (image, isStored) ->
            DynamicTest.dynamicTest("$image") {
                val step = StepSpec(1, Resources(1_000), 100, image = image)
                val record = DurableJobRecord(JobSpec(JobId("j"), "q", "s", 0, 1, 1.6, 60, "", listOf(step)), 0)
                assertEquals(isStored, "image" in record.encode().decodeToString())
            }
        }
}
