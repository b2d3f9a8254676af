package io.jackdawring.fleet.relay

import io.jackdawring.core.PauseGuard
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.PeerSilence
import io.jackdawring.fleet.metrics.FleetMetrics

/** Relays jobs of callers to the holders of shards; confined to the control thread. */
internal class JobRelay(
    private val loop: ControlLoop,
    private val shards: ShardClient,
    private val metrics: FleetMetrics,
    private val pauses: PauseGuard,
    private val silence: PeerSilence,
) {
    /**
     * Submits [job] for a caller that waits [waitMillis]; [onAnswer] is called at most once.
     *
     * After a pause of this process or a cut, the caller may have gone, which shows only once the end of its connection is
     * read.
     */
    fun submit(
        job: JobSpec,
        waitMillis: Long,
        onAnswer: (CallerAnswer) -> Unit,
    ): RelayedJob =
        RelayedJob(job, waitMillis, loop, shards, { metrics.evacuationRefused(by = "relay") }) { answer, ageMillis ->
            metrics.jobAnswered(job.queue, answer, ageMillis)
            onAnswer(answer)
        }.also { relayed ->
            val now = loop.nowMillis()
            when {
                pauses.isCatchingUp(now) -> loop.schedule(PauseGuard.SETTLE_MILLIS, relayed::start)
                silence.mayHoldUp(now) -> loop.schedule(PeerSilence.SETTLE_MILLIS, relayed::start)
                else -> relayed.start()
            }
        }
}
