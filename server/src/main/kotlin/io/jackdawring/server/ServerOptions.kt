package io.jackdawring.server

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.TargetPolicy
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/**
 * Immutable settings of one [EntryServer]; each can be set by flags of `jackdawring serve` or environment variables.
 *
 * [allowRandomSessionKey] permits a start without [sessionKeys]: tokens are then only valid in this process.
 * [controlQueueCapacity] bounds the caller requests, and separately the peer messages, that wait for the control thread.
 * [operatorToken], if set, is the bearer token that operators must send, except for health and readiness.
 * [configureEntry] changes the settings of the decision logic.
 */
class ServerOptions private constructor(
    val instanceId: InstanceId,
    val failureDomain: FailureDomainId,
    val callerListen: String,
    val peerListen: String,
    val peerAdvertise: String?,
    val operatorListen: String?,
    val platformAddress: String,
    val sessionKeys: ImmutableList<SessionKey>,
    val eventLoopThreads: Int,
    val maxConnections: Int,
    val maxBodyBytes: Int,
    val idleTimeoutMillis: Long,
    val targetPolicy: TargetPolicy,
    val allowRandomSessionKey: Boolean,
    val controlQueueCapacity: Int,
    val storeTimeoutMillis: Long,
    val callerTls: TlsOptions?,
    val peerTls: TlsOptions?,
    val operatorTls: TlsOptions?,
    val operatorToken: String?,
    val listWaitMillis: Long,
    val configureEntry: EntryOptions.Builder.() -> Unit,
) {
    /** Builds [ServerOptions]; the first session key signs, all of them verify. */
    class Builder(
        private val instanceId: InstanceId,
        private val failureDomain: FailureDomainId,
    ) {
        var callerListen: String = "127.0.0.1:0"
        var peerListen: String = "127.0.0.1:0"

        /** Address at which peers reach this instance, or null for the bound address of [peerListen]. */
        var peerAdvertise: String? = null
        var operatorListen: String? = null
        var platformAddress: String = "127.0.0.1:7400"
        var sessionKeys: List<SessionKey> = persistentListOf()
        var eventLoopThreads: Int = 2
        var maxConnections: Int = 10_000
        var maxBodyBytes: Int = 16 * 1024 * 1024
        var idleTimeoutMillis: Long = 75_000
        var targetPolicy: TargetPolicy = TargetPolicy.AdaptiveWindow
        var allowRandomSessionKey: Boolean = false
        var controlQueueCapacity: Int = 4_096
        var storeTimeoutMillis: Long = 2_000
        var callerTls: TlsOptions? = null
        var peerTls: TlsOptions? = null
        var operatorTls: TlsOptions? = null
        var operatorToken: String? = null
        var listWaitMillis: Long = 30_000
        var configureEntry: EntryOptions.Builder.() -> Unit = {}

        fun build(): ServerOptions =
            ServerOptions(
                instanceId = instanceId,
                failureDomain = failureDomain,
                callerListen = callerListen,
                peerListen = peerListen,
                peerAdvertise = peerAdvertise,
                operatorListen = operatorListen,
                platformAddress = platformAddress,
                sessionKeys = sessionKeys.toImmutableList(),
                eventLoopThreads = eventLoopThreads,
                maxConnections = maxConnections,
                maxBodyBytes = maxBodyBytes,
                idleTimeoutMillis = idleTimeoutMillis,
                targetPolicy = targetPolicy,
                allowRandomSessionKey = allowRandomSessionKey,
                controlQueueCapacity = controlQueueCapacity,
                storeTimeoutMillis = storeTimeoutMillis,
                callerTls = callerTls,
                peerTls = peerTls,
                operatorTls = operatorTls,
                operatorToken = operatorToken,
                listWaitMillis = listWaitMillis,
                configureEntry = configureEntry,
            )
    }
}

/** A key that signs session tokens; [secret] never appears in logs or status pages. */
class SessionKey(
    val id: String,
    val secret: ByteArray,
)

/** Builds [ServerOptions] from [block]. */
fun serverOptions(
    instanceId: InstanceId,
    failureDomain: FailureDomainId,
    block: ServerOptions.Builder.() -> Unit = {},
): ServerOptions = ServerOptions.Builder(instanceId, failureDomain).apply(block).build()
