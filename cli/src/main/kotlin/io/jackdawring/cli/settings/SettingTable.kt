package io.jackdawring.cli.settings

import io.jackdawring.cli.settings.SettingType.Address
import io.jackdawring.cli.settings.SettingType.Choice
import io.jackdawring.cli.settings.SettingType.Name
import io.jackdawring.cli.settings.SettingType.SessionKeys
import io.jackdawring.cli.settings.SettingType.WholeNumber
import io.jackdawring.core.TargetPolicy

/** The one table of settings. */
object SettingTable {
    val instanceId = Setting("instance-id", "id of this entry instance; survives restarts", Name, required = true)
    val failureDomain =
        Setting("failure-domain", "failure domain of this entry instance", Name, required = true)
    val listen = Setting("listen", "caller listener", Address(minPort = 0), default = "127.0.0.1:7410")
    val peerListen =
        Setting("peer-listen", "listener for other entry instances", Address(minPort = 0), default = "127.0.0.1:7411")
    val operatorListen =
        Setting("operator-listen", "listener for metrics, health and status; closed unless set", Address(minPort = 0))
    val platform =
        Setting("platform", "address of the platform", Address(minPort = 1), default = "127.0.0.1:7400")
    val sessionKeys =
        Setting(
            "session-keys",
            "keys of session tokens; the first signs, all verify; the same on all instances",
            SessionKeys,
            required = true,
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

    // A job lasts at most 60 s; the rest is for the hand-over of records.
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
        Setting("operator", "operator listener of an entry instance", Address(minPort = 1), default = "127.0.0.1:7412")

    /** Settings of `serve`. */
    val serve: List<Setting> =
        listOf(
            instanceId,
            failureDomain,
            listen,
            peerListen,
            operatorListen,
            platform,
            sessionKeys,
            eventLoopThreads,
            maxConnections,
            maxBodyBytes,
            idleTimeoutMillis,
            targetPolicy,
            drainTimeoutMillis,
        )

    val all: List<Setting> = serve + listOf(entry, operator)
}

/** Target policies by the name used in settings. */
internal val targetPolicies: Map<String, TargetPolicy> =
    mapOf(
        "adaptive-window" to TargetPolicy.AdaptiveWindow,
        "static-share" to TargetPolicy.StaticShare,
        "random" to TargetPolicy.Random,
        "round-robin" to TargetPolicy.RoundRobin,
        "least-in-flight" to TargetPolicy.LeastInFlight,
    )
