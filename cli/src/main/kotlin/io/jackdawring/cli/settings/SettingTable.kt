package io.jackdawring.cli.settings

import io.jackdawring.cli.settings.SettingType.Address
import io.jackdawring.cli.settings.SettingType.Choice
import io.jackdawring.cli.settings.SettingType.Name
import io.jackdawring.cli.settings.SettingType.SessionKeys
import io.jackdawring.cli.settings.SettingType.WholeNumber
import io.jackdawring.core.TargetPolicy

/** All settings of the binary. */
object SettingTable {
    val instanceId = Setting("instance-id", "id of this entry instance; survives restarts", Name, required = true)
    val failureDomain =
        Setting("failure-domain", "failure domain of this entry instance", Name, required = true)
    val listen = Setting("listen", "caller listener", Address(minPort = 0), default = "127.0.0.1:7410")
    val peerListen =
        Setting("peer-listen", "listener for other entry instances", Address(minPort = 0), default = "127.0.0.1:7411")
    val peerAdvertise =
        Setting(
            "peer-advertise",
            "address at which other entry instances reach this one; the bound address of peer-listen unless set",
            Address(minPort = 1),
        )
    val peerSeeds =
        Setting(
            "peer-seeds",
            "peer listeners to ask for members and configuration while no other entry instance is known",
            SettingType.AddressList,
        )
    val operatorListen =
        Setting("operator-listen", "listener for metrics, health and status; closed unless set", Address(minPort = 0))
    val platform =
        Setting("platform", "address of the platform", Address(minPort = 1), default = "127.0.0.1:7400")
    val sessionKeys =
        Setting(
            "session-keys",
            "keys of session tokens; the first signs, all verify; the same on all instances; required unless allow-random-session-key is true",
            SessionKeys,
            secret = true,
        )
    val eventLoopThreads =
        Setting("event-loop-threads", "threads for network I/O", WholeNumber(1, 64), default = "2", unit = "threads")
    val maxConnections =
        Setting(
            "max-connections",
            "open caller connections",
            WholeNumber(1, 1_000_000),
            default = "10000",
            unit = "connections",
        )

    // 1 GiB is the largest body that fits a JVM array with room for JSON escapes.
    val maxBodyBytes =
        Setting(
            "max-body-bytes",
            "largest request body",
            WholeNumber(1_024, 1L shl 30),
            default = "${16 * 1024 * 1024}",
            unit = "bytes",
        )
    val idleTimeoutMillis =
        Setting(
            "idle-timeout-millis",
            "time after which an idle caller connection is closed",
            WholeNumber(1_000, 3_600_000),
            default = "75000",
            unit = "ms",
        )
    val targetPolicy =
        Setting(
            "target-policy",
            "how targets are chosen; all but adaptive-window are baselines for measurements",
            Choice(targetPolicies.keys.toList()),
            default = "adaptive-window",
        )

    val allowRandomSessionKey =
        Setting(
            "allow-random-session-key",
            "start without session keys; sessions are then only valid in this process",
            Choice(listOf("true", "false")),
            default = "false",
        )
    val controlQueueCapacity =
        whole("control-queue-capacity", "caller requests that wait for the control thread", 16L..1_000_000, 4_096)
    val storeTimeoutMillis = millis("store-timeout-millis", "time limit of a store call", 100L..60_000, 2_000)
    val listWaitMillis =
        millis("list-wait-millis", "longest wait for a change of the platform's list", 1_000L..300_000, 30_000)
    val callerTlsCertificate = file("caller-tls-certificate", "PEM certificate chain of the caller listener")
    val callerTlsKey = file("caller-tls-key", "PEM private key of the caller listener")
    val callerTlsTrusted = file("caller-tls-trusted", "PEM certificates that sign callers' certificates")
    val peerTlsCertificate = file("peer-tls-certificate", "PEM certificate chain of the peer listener")
    val peerTlsKey = file("peer-tls-key", "PEM private key of the peer listener")
    val peerTlsTrusted = file("peer-tls-trusted", "PEM certificates that sign other entry instances' certificates")
    val operatorTlsCertificate = file("operator-tls-certificate", "PEM certificate chain of the operator listener")
    val operatorTlsKey = file("operator-tls-key", "PEM private key of the operator listener")
    val operatorTlsTrusted = file("operator-tls-trusted", "PEM certificates that sign operators' certificates")
    val operatorToken =
        Setting(
            "operator-token",
            "bearer token of the operator listener for everything but /healthz and /readyz; not asked for unless set",
            SettingType.BearerToken,
            secret = true,
        )
    val logFormat =
        Setting("log-format", "form of log lines on standard error", Choice(listOf("json", "text")), default = "json")
    val sessionLifetimeMillis =
        millis("session-lifetime-millis", "lifetime of a session", 10_000L..86_400_000, 600_000)
    val maxSessions = whole("max-sessions", "open sessions", 1L..10_000_000, 20_000, "sessions")
    val maxSubmissionsPerSession =
        whole("max-submissions-per-session", "submissions of a session", 1L..10_000_000, 100_000, "submissions")
    val maxRecords = whole("max-records", "submission records", 1L..10_000_000, 2_500_000, "records")
    val answerRetentionMillis =
        millis("answer-retention-millis", "time for which an answer is kept", 1_000L..3_600_000, 120_000)
    val answerRetentionBytes =
        whole("answer-retention-bytes", "size of all kept answers", (1L shl 20)..(1L shl 36), 256L shl 20, "bytes")
    val maxQueuedTasks = whole("max-queued-tasks", "tasks that wait for a target", 1L..10_000_000, 50_000, "tasks")
    val claimRatePerSecond =
        whole("claim-rate-per-second", "claims in the store by this instance", 1L..10_000, 20, "claims/s")
    val claimMaxKeyAgeMillis =
        millis(
            "claim-max-key-age-millis",
            "age up to which an idempotency key can be claimed",
            1_000L..3_600_000,
            600_000,
        )
    val claimClockSkewMillis =
        millis("claim-clock-skew-millis", "largest difference between two clocks", 0L..600_000, 60_000)
    val gossipIntervalMillis = millis("gossip-interval-millis", "time between two digests", 100L..60_000, 1_000)
    val gossipFanOut = whole("gossip-fan-out", "peers that get each digest", 1L..16, 1, "peers")
    val suspectAfterMillis =
        millis("suspect-after-millis", "silence after which a member is suspect", 500L..600_000, 6_000)
    val dropAfterMillis =
        millis("drop-after-millis", "silence after which a member is dropped", 1_000L..3_600_000, 30_000)
    val retryBudgetPercent =
        whole("retry-budget-percent", "starts that may be repeated, as a share of all starts", 0L..100, 10, "%")

    val spareSlots =
        whole("spare-slots", "slots of a target left free above the own fair share", 1L..8, 2, "slots")

    // A job takes at most 60 s; the rest is for the hand-over of records.
    val drainTimeoutMillis =
        Setting(
            "drain-timeout-millis",
            "time limit of a graceful shutdown; open requests are cut off after it",
            WholeNumber(1_000, 600_000),
            default = "90000",
            unit = "ms",
        )
    val entry =
        Setting("entry", "caller listener of an entry instance", Address(minPort = 1), default = "127.0.0.1:7410")
    val operator =
        Setting(
            "operator",
            "operator listeners of entry instances, separated by commas",
            SettingType.AddressList,
            default = "127.0.0.1:7412",
        )
    val tlsTrusted =
        file("tls-trusted", "PEM certificates that sign those of the listeners; subcommands use TLS if it is given")

    /** Settings of subcommands that read operator listeners. */
    val operatorClient: List<Setting> = listOf(operator, operatorToken, tlsTrusted)

    /** Settings of `serve`. */
    val serve: List<Setting> =
        listOf(
            instanceId,
            failureDomain,
            listen,
            peerListen,
            peerAdvertise,
            peerSeeds,
            operatorListen,
            platform,
            sessionKeys,
            eventLoopThreads,
            maxConnections,
            maxBodyBytes,
            idleTimeoutMillis,
            targetPolicy,
            allowRandomSessionKey,
            controlQueueCapacity,
            storeTimeoutMillis,
            listWaitMillis,
            callerTlsCertificate,
            callerTlsKey,
            callerTlsTrusted,
            peerTlsCertificate,
            peerTlsKey,
            peerTlsTrusted,
            operatorTlsCertificate,
            operatorTlsKey,
            operatorTlsTrusted,
            operatorToken,
            logFormat,
            sessionLifetimeMillis,
            maxSessions,
            maxSubmissionsPerSession,
            maxRecords,
            answerRetentionMillis,
            answerRetentionBytes,
            maxQueuedTasks,
            claimRatePerSecond,
            claimMaxKeyAgeMillis,
            claimClockSkewMillis,
            gossipIntervalMillis,
            gossipFanOut,
            suspectAfterMillis,
            dropAfterMillis,
            retryBudgetPercent,
            spareSlots,
            drainTimeoutMillis,
        )

    val all: List<Setting> = serve + listOf(entry, operator, tlsTrusted)
}

private fun millis(
    name: String,
    description: String,
    range: LongRange,
    default: Long,
) = whole(name, description, range, default, "ms")

private fun whole(
    name: String,
    description: String,
    range: LongRange,
    default: Long,
    unit: String = "requests",
) = Setting(name, description, WholeNumber(range.first, range.last), "$default", unit)

private fun file(
    name: String,
    description: String,
) = Setting(name, description, SettingType.ReadableFile)

/** Target policies by the name used in settings. */
internal val targetPolicies: Map<String, TargetPolicy> =
    mapOf(
        "adaptive-window" to TargetPolicy.AdaptiveWindow,
        "static-share" to TargetPolicy.StaticShare,
        "random" to TargetPolicy.Random,
        "round-robin" to TargetPolicy.RoundRobin,
        "least-in-flight" to TargetPolicy.LeastInFlight,
    )
