package io.jackdawring.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Faults of a [StandInPlatform], set as a whole with `PUT /faults`; absent fields have their defaults.
 *
 * A call takes effect after [delayMillis]; [loseReplyPercent] of the store's writes take effect without a response.
 * [listLagMillis] is the age of the instance list that readers see. A rate cap of 0 means no cap.
 */
@Serializable
data class PlatformFaults(
    val down: Boolean = false,
    val downMode: DownMode = DownMode.CLOSE,
    val delayMillis: Long = 0,
    val loseReplyPercent: Int = 0,
    val listLagMillis: Long = 0,
    val maxReadsPerSecond: Int = 0,
    val maxWritesPerSecond: Int = 0,
)

/** How a platform that is down responds to its clients. */
@Serializable
enum class DownMode {
    /** The connection closes without a response. */
    @SerialName("close")
    CLOSE,

    /** Every call is answered with 503. */
    @SerialName("503")
    STATUS_503,
}
