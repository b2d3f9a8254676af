package io.jackdawring.load.bench

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against benchmarks that no longer run with the current code, and against tables without figures. */
class BenchToolTest {
    @TestFactory
    fun `each benchmark runs with tiny counts`() =
        Benchmark.entries.map { benchmark ->
            DynamicTest.dynamicTest(benchmark.label) {
                val out = ByteArrayOutputStream()
                val options =
                    benchOptions {
                        benchmarks = listOf(benchmark)
                        caseMillis = 100
                        small = true
                        json = true
                    }
                assertEquals(0, runBench(options, PrintStream(out)), out.toString())
                val table = Json.decodeFromString(BenchTable.serializer(), out.toString())
                assertEquals(benchmark.label, table.benchmark)
                assertTrue(table.rows.isNotEmpty() && table.toText().lines().size > table.rows.size, out.toString())
            }
        }
}
