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

/** Guards against settings files that fail only in deployment, and against an instance state that cannot be read. */
class InstanceCommandsTest {
    @TempDir
    lateinit var folder: Path
    private val site = StandInSite()

    @AfterEach
    fun close() = site.close()

    private class Case(
        val name: String,
        val change: (String) -> String,
        val exitCode: ExitCode,
        val message: String,
    )

    private val cases =
        listOf(
            Case("a valid file", { it }, ExitCode.OK, "failure domain"),
            Case("no failure domain", { it.replace("zone", "zine") }, ExitCode.FAILED, "zone is missing"),
            Case(
                "a number as text",
                { "$it\n[bounds]\ngraceS = \"6\"" },
                ExitCode.FAILED,
                "bounds.graceS must be a number",
            ),
            Case("no TOML", { "nodeName = " }, ExitCode.FAILED, "not valid TOML"),
        )

    @TestFactory
    fun `settings files`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val file = File(folder.toFile(), "settings.toml")
                file.writeText(case.change(site.settings("e0", site.newAddresses())))
                val run = runCli("instance", "check", "--settings", file.path)
                assertEquals(case.exitCode, run.exitCode)
                assertContains(run.out + run.err, case.message)
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
