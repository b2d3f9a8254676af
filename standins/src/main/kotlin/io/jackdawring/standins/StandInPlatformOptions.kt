package io.jackdawring.standins

/** Immutable settings of one [StandInPlatform]. */
class StandInPlatformOptions private constructor(
    val listen: String,
    val seed: Long,
    val faults: PlatformFaults,
    val maxValueBytes: Int,
    val views: List<String>,
) {
    /** Builds [StandInPlatformOptions]. */
    class Builder {
        /** Address to listen on, `ip:port`. */
        var listen: String = "127.0.0.1:7400"

        /** Seed for choosing the replies that are lost. */
        var seed: Long = 1
        var faults: PlatformFaults = PlatformFaults()

        /** Size limit of a value; the platform's store accepts 1 MB. */
        var maxValueBytes: Int = 1024 * 1024

        /**
         * Failure domains with a separate listener, on a free port of the address in [listen].
         *
         * Its instance list has the far address of instances of other failure domains that registered one with the
         * query parameter `farAddress`.
         */
        var views: List<String> = emptyList()

        fun build(): StandInPlatformOptions =
            StandInPlatformOptions(listen, seed, faults, maxValueBytes, views.toList())
    }
}

/** Builds [StandInPlatformOptions] from [block]. */
fun standInPlatformOptions(block: StandInPlatformOptions.Builder.() -> Unit = {}): StandInPlatformOptions =
    StandInPlatformOptions.Builder().apply(block).build()
