package io.jackdawring.load.bench

/** A benchmark of `jackdawring bench`; [label] is its name on the command line. */
enum class Benchmark(
    val label: String,
) {
    CORE("core"),
    SHARD("shard"),
    STARTS("starts"),
    CONTROL("control"),
    MEMORY("memory"),
    STORE("store"),
}

/** Immutable settings of [runBench]. */
class BenchOptions private constructor(
    val benchmarks: List<Benchmark>,
    val caseMillis: Long,
    val small: Boolean,
    val json: Boolean,
) {
    /** Builds [BenchOptions]. */
    class Builder {
        var benchmarks: List<Benchmark> = Benchmark.entries

        /** Time for which each case is measured, without its warm-up. */
        var caseMillis: Long = 1_000

        /** Only the smallest case of each benchmark with tiny counts, as a smoke test; the figures are meaningless. */
        var small: Boolean = false
        var json: Boolean = false

        fun build(): BenchOptions = BenchOptions(benchmarks.toList(), caseMillis, small, json)
    }
}

/** Builds [BenchOptions] from [block]. */
fun benchOptions(block: BenchOptions.Builder.() -> Unit = {}): BenchOptions =
    BenchOptions.Builder().apply(block).build()
