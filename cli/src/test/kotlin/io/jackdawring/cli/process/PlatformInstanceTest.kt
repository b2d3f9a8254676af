package io.jackdawring.cli.process

import io.jackdawring.standins.platform.StandInSite
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.nio.file.Path
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs `jackdawring instance` as a separate process; guards against signals that terminate it or abort requests. */
class PlatformInstanceTest {
    @TempDir
    lateinit var folder: Path
    private val site = StandInSite().also { it.open() }

    @AfterEach
    fun close() = site.close()

    private fun start(addresses: StandInSite.Addresses): ProgramProcess {
        val settings = File(folder.toFile(), "settings.toml").apply { writeText(site.settings("e0", addresses)) }
        return ProgramProcess("platform-instance", listOf("instance"), mapOf("JACKDAWRING_NODE_FILE" to settings.path))
    }

    @Test
    fun `an instance continues after SIGHUP and stops after SIGTERM`() {
        val addresses = site.newAddresses()
        start(addresses).use { process ->
            site.awaitReady(addresses)
            process.signal("HUP")
            assertEquals(StandInSite.OK, site.submit(addresses, 1))
            File(folder.toFile(), "settings.toml").appendText("\n# changed\n")
            process.signal("HUP")
            assertEquals(StandInSite.OK, site.submit(addresses, 2))
            assertTrue(process.isAlive)
            process.signal("TERM")
            assertEquals(0, process.exitCode())
        }
    }
}
