package io.jackdawring.load

import io.jackdawring.server.http.HttpTransport
import io.jackdawring.standins.realTimers
import kotlinx.serialization.json.Json
import java.io.PrintStream

/**
 * Sends load over HTTP and prints the report to [out].
 *
 * Returns 0 if no answer was wrong and no task started twice, else 1.
 */
fun runLoad(
    options: LoadOptions,
    out: PrintStream,
): Int =
    HttpTransport(EVENT_LOOP_THREADS, "load").use { transport ->
        transport.client().use { client ->
            realTimers().use { timers ->
                val callers = CallerClient(client, timers, options.callerOneWayMillis)
                val targets = options.platformAddress?.let { RemoteTargetReadings(client, it) }
                val report = LoadRun(options, callers, timers, targets).run()
                out.print(
                    if (options.json) {
                        Json.encodeToString(LoadReport.serializer(), report) + "\n"
                    } else {
                        report.toText()
                    },
                )
                if (report.correct) 0 else 1
            }
        }
    }

private const val EVENT_LOOP_THREADS = 2
