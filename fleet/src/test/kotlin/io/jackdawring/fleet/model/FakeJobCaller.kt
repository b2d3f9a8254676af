package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.relay.RelayedJob

/** Caller of [job]; it sends the job again, under the same id, if it cannot tell whether the job has run. */
internal class FakeJobCaller(
    val job: JobSpec,
    private val domain: String,
    private val fleet: FakeFleet,
    /** The entry instances of the first and of later submissions. */
    private val nextInstance: (submission: Int) -> FakeEntryInstance?,
) {
    private val node = FakeLinks.callers(domain)

    /** Number of times that the job was sent. */
    var submissions = 0
        private set
    private var current: Submission? = null

    /** Whether every submission was answered as not run. */
    var allRefused = true
        private set

    fun submit() {
        val instance = nextInstance(++submissions)
        trace("submission $submissions to ${instance?.id}")
        Submission(instance).also { current = it }.start()
    }

    /** Breaks the connection to [instance], if the caller waits for an answer of it. */
    fun reset(instance: FakeEntryInstance) {
        current?.takeIf { it.instance === instance }?.let {
            it.disconnect()
            it.end("connection reset", resend = true)
        }
    }

    private fun trace(text: String) = fleet.trace.add("caller: $text", job.id)

    private inner class Submission(
        val instance: FakeEntryInstance?,
    ) {
        private var relayed: RelayedJob? = null
        private var ended = false

        fun start() {
            fleet.clock.schedule(WAIT_MILLIS) {
                if (!ended) {
                    disconnect()
                    end("no answer", resend = true)
                }
            }
            if (instance == null) return
            fleet.links.transmit(node, instance.id) {
                if (!instance.isListening) {
                    fleet.links.transmit(instance.id, node) { end("refused connection", resend = true) }
                } else {
                    instance.process.receive {
                        relayed =
                            instance.relay.submit(job, WAIT_MILLIS) { answer ->
                                fleet.links.transmit(instance.id, node) { onAnswer(answer) }
                            }
                    }
                }
            }
        }

        fun disconnect() {
            if (instance == null) return
            fleet.links.transmit(node, instance.id) { instance.process.receive { relayed?.cancel() } }
        }

        private fun onAnswer(answer: CallerAnswer) =
            when (answer) {
                is CallerAnswer.NotRun -> end("not run: ${answer.reason}", resend = false, refused = true)
                is CallerAnswer.GivenUp -> end("given up: ${answer.reason}", resend = true)
                is CallerAnswer.Ended -> end("ended", resend = false)
                else -> error("unexpected answer $answer")
            }

        fun end(
            text: String,
            resend: Boolean,
            refused: Boolean = false,
        ) {
            if (ended) return
            ended = true
            current = null
            trace(text)
            if (!refused) allRefused = false
            if (resend && submissions < MAX_SUBMISSIONS) fleet.clock.schedule(RESEND_MILLIS, ::submit)
        }
    }

    companion object {
        const val WAIT_MILLIS = 1_500L
        const val RESEND_MILLIS = 1_300L
        private const val MAX_SUBMISSIONS = 3
    }
}
