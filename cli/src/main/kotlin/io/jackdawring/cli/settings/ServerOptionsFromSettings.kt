package io.jackdawring.cli.settings

import io.jackdawring.cli.UsageException
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.server.ServerOptions
import io.jackdawring.server.SessionKey
import io.jackdawring.server.TlsOptions
import io.jackdawring.server.serverOptions
import java.io.File

/** Options of an entry server from the settings of `serve`. */
fun ResolvedSettings.toServerOptions(): ServerOptions {
    val from = this
    return serverOptions(
        InstanceId(text(SettingTable.instanceId)),
        FailureDomainId(text(SettingTable.failureDomain)),
    ) {
        callerListen = from.text(SettingTable.listen)
        peerListen = from.text(SettingTable.peerListen)
        peerAdvertise = from.textOrNull(SettingTable.peerAdvertise)
        operatorListen = from.textOrNull(SettingTable.operatorListen)
        platformAddress = from.text(SettingTable.platform)
        sessionKeys = from.sessionKeys()
        eventLoopThreads = from.int(SettingTable.eventLoopThreads)
        maxConnections = from.int(SettingTable.maxConnections)
        maxBodyBytes = from.int(SettingTable.maxBodyBytes)
        idleTimeoutMillis = from.long(SettingTable.idleTimeoutMillis)
        targetPolicy = targetPolicies.getValue(from.text(SettingTable.targetPolicy))
        allowRandomSessionKey = from.text(SettingTable.allowRandomSessionKey) == "true"
        controlQueueCapacity = from.int(SettingTable.controlQueueCapacity)
        storeTimeoutMillis = from.long(SettingTable.storeTimeoutMillis)
        listWaitMillis = from.long(SettingTable.listWaitMillis)
        callerTls =
            from.tls(SettingTable.callerTlsCertificate, SettingTable.callerTlsKey, SettingTable.callerTlsTrusted)
        peerTls = from.tls(SettingTable.peerTlsCertificate, SettingTable.peerTlsKey, SettingTable.peerTlsTrusted)
        operatorTls =
            from.tls(
                SettingTable.operatorTlsCertificate,
                SettingTable.operatorTlsKey,
                SettingTable.operatorTlsTrusted,
            )
        operatorToken = from.textOrNull(SettingTable.operatorToken)
        configureEntry = { configure(from) }
    }
}

private fun EntryOptions.Builder.configure(from: ResolvedSettings) {
    peerSeeds = from.textOrNull(SettingTable.peerSeeds)?.split(',').orEmpty()
    sessionLifetimeMillis = from.long(SettingTable.sessionLifetimeMillis)
    maxSessions = from.int(SettingTable.maxSessions)
    maxSubmissionsPerSession = from.int(SettingTable.maxSubmissionsPerSession)
    maxRecords = from.int(SettingTable.maxRecords)
    answerRetentionMillis = from.long(SettingTable.answerRetentionMillis)
    answerRetentionBytes = from.long(SettingTable.answerRetentionBytes)
    maxQueuedTasks = from.int(SettingTable.maxQueuedTasks)
    claimRatePerSecond = from.int(SettingTable.claimRatePerSecond)
    claimMaxKeyAgeMillis = from.long(SettingTable.claimMaxKeyAgeMillis)
    claimClockSkewMillis = from.long(SettingTable.claimClockSkewMillis)
    gossipIntervalMillis = from.long(SettingTable.gossipIntervalMillis)
    gossipFanOut = from.int(SettingTable.gossipFanOut)
    suspectAfterMillis = from.long(SettingTable.suspectAfterMillis)
    dropAfterMillis = from.long(SettingTable.dropAfterMillis)
    retryBudgetPercent = from.int(SettingTable.retryBudgetPercent)
    spareSlots = from.int(SettingTable.spareSlots)
}

private fun ResolvedSettings.tls(
    certificate: Setting,
    key: Setting,
    trusted: Setting,
): TlsOptions? {
    val certificateFile = textOrNull(certificate)
    val keyFile = textOrNull(key)
    if (certificateFile == null && keyFile == null && textOrNull(trusted) == null) return null
    if (certificateFile == null || keyFile == null) {
        throw UsageException("${certificate.flag} and ${key.flag} must be given together")
    }
    return TlsOptions(File(certificateFile), File(keyFile), textOrNull(trusted)?.let { File(it) })
}

private fun ResolvedSettings.sessionKeys(): List<SessionKey> {
    val text = textOrNull(SettingTable.sessionKeys)
    if (text == null && textOrNull(SettingTable.allowRandomSessionKey) != "true") {
        val keys = SettingTable.sessionKeys
        throw UsageException("${keys.flag} (or ${keys.variable}) is required; allowed is ${keys.type.range}")
    }
    return text.orEmpty().split(',').filter { it.isNotEmpty() }.map { key ->
        val (id, hex) = key.split(':')
        SessionKey(id, hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray())
    }
}
