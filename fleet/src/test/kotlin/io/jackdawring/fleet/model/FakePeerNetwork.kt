package io.jackdawring.fleet.model

import io.jackdawring.fleet.peer.JobMessage
import io.jackdawring.fleet.peer.PeerPaths
import io.jackdawring.fleet.peer.peerJson
import io.jackdawring.server.http.HttpCall
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import java.util.SplittableRandom

/** HTTP between entry instances, whose addresses are their ids. */
internal class FakePeerNetwork(
    private val links: FakeLinks,
    private val random: SplittableRandom,
    private val trace: FleetTrace,
) {
    private class Server(
        val process: FakeProcess,
        val handle: (HttpExchange) -> Unit,
    )

    private val servers = HashMap<String, Server>()
    private val openCalls = LinkedHashSet<Call>()

    fun listen(
        address: String,
        process: FakeProcess,
        handle: (HttpExchange) -> Unit,
    ) {
        servers[address] = Server(process, handle)
    }

    /** Breaks the connections of the process at [address], which has been killed. */
    fun onKilled(address: String) {
        for (call in openCalls.toList()) {
            if (call.to == address) call.onServerKilled()
            if (call.from == address) call.disconnectServer()
        }
    }

    fun client(
        from: String,
        process: FakeProcess,
    ): HttpClient =
        object : HttpClient {
            override fun send(
                address: String,
                request: HttpRequestMessage,
                timeoutMillis: Long,
                onResult: (HttpResult) -> Unit,
            ): HttpCall = Call(from, address, process, request, onResult).also { it.start(timeoutMillis) }

            override fun close() = Unit
        }

    private inner class Call(
        val from: String,
        val to: String,
        private val client: FakeProcess,
        override val request: HttpRequestMessage,
        private val onResult: (HttpResult) -> Unit,
    ) : HttpCall,
        HttpExchange {
        private var server: Server? = null
        private var completed = false
        private var responded = false
        private var disconnected = false
        private val onDisconnected = ArrayList<() -> Unit>()

        fun start(timeoutMillis: Long) {
            openCalls.add(this)
            // Without an open connection, nothing is sent over a cut path.
            val connected = !links.isCut(from, to) || random.nextBoolean()
            val timedOut = if (connected) HttpResult.NoResponse("timed out") else HttpResult.NotSent("not connected")
            client.schedule(if (connected) timeoutMillis else minOf(timeoutMillis, CONNECT_MILLIS)) { close(timedOut) }
            if (connected) links.transmit(from, to, ::onConnected)
        }

        private fun onConnected() {
            // The client has reset the connection, which discards what a cut has held up.
            if (completed) return
            val listening = servers[to]
            if (listening == null || !listening.process.alive) {
                links.transmit(to, from) { client.receive { complete(HttpResult.NotSent("refused", refused = true)) } }
                return
            }
            server = listening
            listening.process.receive {
                traceJob()
                listening.handle(this)
            }
        }

        private fun traceJob() {
            if (request.path != PeerPaths.JOB) return
            val message = peerJson.decodeFromString(JobMessage.serializer(), request.body.decodeToString())
            trace.add("$to gets the job from $from, may run: ${message.request.mayRun}", message.request.job.id)
        }

        private fun complete(result: HttpResult) {
            if (completed) return
            completed = true
            if (server == null || responded) openCalls.remove(this)
            onResult(result)
        }

        private fun close(result: HttpResult) {
            if (completed) return
            complete(result)
            disconnectServer()
        }

        override fun cancel() = close(HttpResult.NoResponse("cancelled", cancelled = true))

        fun onServerKilled() {
            openCalls.remove(this)
            links.transmit(to, from) { client.receive { complete(HttpResult.NoResponse("reset")) } }
        }

        fun disconnectServer() =
            links.transmit(from, to) {
                openCalls.remove(this)
                server?.process?.receive {
                    if (!responded && !disconnected) {
                        disconnected = true
                        onDisconnected.forEach { it() }
                    }
                }
            }

        override fun respond(response: HttpResponseMessage) {
            if (responded || disconnected) return
            responded = true
            links.transmit(to, from) {
                openCalls.remove(this)
                client.receive { complete(HttpResult.Answered(response)) }
            }
        }

        override fun disconnect() = Unit

        override fun onDisconnected(action: () -> Unit) {
            if (disconnected) action() else onDisconnected.add(action)
        }
    }

    private companion object {
        const val CONNECT_MILLIS = 1_000L
    }
}
