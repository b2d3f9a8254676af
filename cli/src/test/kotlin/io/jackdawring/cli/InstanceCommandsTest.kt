package io.jackdawring.cli

import io.jackdawring.platform.PlatformInstance
import io.jackdawring.standins.platform.StandInSite
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.nio.file.Path
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against settings files that only fail on the machine, and against beliefs that nobody can read. */
class InstanceCommandsTest {
    @TempDir
    lateinit var folder: Path
    private val site = StandInSite()

    @AfterEach
    fun close() = site.close()

    private class Row(
        val name: String,
        val change: (String) -> String,
        val exit: ExitCode,
        val says: String,
    )

    private val rows =
        listOf(
            Row("a valid file", { it }, ExitCode.OK, "failure domain"),
            Row("no failure domain", { it.replace("zone", "zine") }, ExitCode.FAILED, "zone is missing"),
            Row(
                "a number as text",
                { "$it\n[bounds]\ngraceS = \"6\"" },
                ExitCode.FAILED,
                "bounds.graceS must be a number",
            ),
            Row("no TOML", { "nodeName = " }, ExitCode.FAILED, "not valid TOML"),
        )

    @TestFactory
    fun `settings files`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val file = File(folder.toFile(), "settings.toml")
                file.writeText(row.change(site.settings("e0", site.newAddresses())))
                val run = runCli("instance", "check", "--settings", file.path)
                assertEquals(row.exit, run.exitCode)
                assertContains(run.out + run.err, row.says)
            }
        }

    @Test
    fun `beliefs of an instance name its shard, targets and configuration`() {
        site.open()
        val addresses = site.newAddresses()
        PlatformInstance.start(site.settings("e0", addresses)).fold({ error(it) }, { it }).use {
            site.awaitReady(addresses)
            val run = runCli("instance", "beliefs", "--address", addresses.metrics)
            assertEquals(ExitCode.OK, run.exitCode)
            listOf(
                "jackdawring/shards/a/0",
                "\"held\"",
                "\"version\": 1",
                "i-0",
            ).forEach { assertContains(run.out, it) }
        }
        assertEquals(ExitCode.UNREACHABLE, runCli("instance", "beliefs", "--address", addresses.metrics).exitCode)
    }
}
