package io.jackdawring.standins

/** Immutable settings of one [StandInPlatform]. */
class StandInPlatformOptions private constructor(
    val listen: String,
    val seed: Long,
    val faults: PlatformFaults,
    val maxValueBytes: Int,
) {
    /** Builds [StandInPlatformOptions]. */
    class Builder {
        /** Address to listen on, `ip:port`. */
        var listen: String = "127.0.0.1:7400"

        /** Seed of the choice of lost replies. */
        var seed: Long = 1
        var faults: PlatformFaults = PlatformFaults()

        /** Size limit of a value; the platform's store accepts 1 MB. */
        var maxValueBytes: Int = 1024 * 1024

        fun build(): StandInPlatformOptions = StandInPlatformOptions(listen, seed, faults, maxValueBytes)
    }
}

/** Builds [StandInPlatformOptions] from [block]. */
fun standInPlatformOptions(block: StandInPlatformOptions.Builder.() -> Unit = {}): StandInPlatformOptions =
    StandInPlatformOptions.Builder().apply(block).build()
