package io.jackdawring.server.platform

import io.jackdawring.core.Event
import io.jackdawring.core.InstanceList
import io.jackdawring.core.ListedInstance
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.json.lenientJson
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.serialization.SerializationException
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/**
 * Keeps this instance registered in the platform's list and follows the list by long polling.
 *
 * All state but [closed] is confined to [executor], which has a single thread.
 */
internal class InstanceDirectory(
    private val client: HttpClient,
    private val platformAddress: String,
    private val self: ListedInstance,
    private val waitMillis: Long,
    private val timeoutMillis: Long,
    private val executor: ScheduledExecutorService,
    private val onEvent: (Event) -> Unit,
) : AutoCloseable {
    private var version: Long? = null
    private var listFailures = 0
    private var registering = false
    private var registrationFailures = 0

    @Volatile
    private var closed = false

    fun start() =
        executor.execute {
            register()
            poll()
        }

    /** Runs [action] on the executor, or not at all once it has been shut down. */
    private fun execute(action: () -> Unit) {
        try {
            executor.execute(action)
        } catch (_: RejectedExecutionException) {
            closed = true
        }
    }

    private fun poll() {
        if (closed) return
        val known = version
        val query =
            if (known == null) {
                persistentHashMapOf()
            } else {
                persistentHashMapOf("afterVersion" to "$known", "waitMillis" to "$waitMillis")
            }
        client.send(platformAddress, HttpRequestMessage("GET", "/instances", query), waitMillis + timeoutMillis) {
            execute { onPolled(it) }
        }
    }

    private fun onPolled(result: HttpResult) {
        val list = if (result is HttpResult.Answered && result.response.status == 200) decode(result) else null
        if (list == null) {
            executor.schedule(::poll, backoffMillis(listFailures++), TimeUnit.MILLISECONDS)
            return
        }
        listFailures = 0
        if (list.version != version) {
            version = list.version
            onEvent(Event.InstancesListed(list))
            if (list.instances.none { it.id == self.id }) register()
            poll()
        } else {
            // Avoids a tight loop if the platform answers without waiting for a change.
            executor.schedule(::poll, MIN_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private fun decode(result: HttpResult.Answered): InstanceList? =
        try {
            lenientJson.decodeFromString(InstanceList.serializer(), result.response.body.decodeToString())
        } catch (_: SerializationException) {
            null
        }

    private fun register() {
        if (closed || registering) return
        registering = true
        val body = lenientJson.encodeToString(ListedInstance.serializer(), self).encodeToByteArray()
        val request = HttpRequestMessage("POST", "/instances", headers = JSON_HEADERS, body = body)
        client.send(platformAddress, request, timeoutMillis) { execute { onRegistered(it) } }
    }

    private fun onRegistered(result: HttpResult) {
        registering = false
        if (result is HttpResult.Answered && result.response.status in SUCCESS_STATUSES) {
            registrationFailures = 0
        } else {
            executor.schedule(::register, backoffMillis(registrationFailures++), TimeUnit.MILLISECONDS)
        }
    }

    /** Removes this instance from the list, then calls [onDone], whether or not the platform answered. */
    fun deregister(onDone: () -> Unit) {
        closed = true
        client.send(platformAddress, HttpRequestMessage("DELETE", "/instances/${self.id}"), timeoutMillis) { onDone() }
    }

    override fun close() {
        closed = true
    }

    private companion object {
        const val MIN_BACKOFF_MILLIS = 100L
        const val MAX_BACKOFF_SHIFT = 5
        const val MIN_POLL_INTERVAL_MILLIS = 100L
        val SUCCESS_STATUSES = 200..299
        val JSON_HEADERS = persistentHashMapOf("content-type" to "application/json")

        /** 100 ms doubling up to 3.2 s. */
        fun backoffMillis(failures: Int): Long = MIN_BACKOFF_MILLIS shl minOf(failures, MAX_BACKOFF_SHIFT)
    }
}
