package io.jackdawring.cli

/** Returns the candidate nearest to [word], or null if none is near enough to be a typing error. */
internal fun nearest(
    word: String,
    candidates: Collection<String>,
): String? =
    candidates
        .map { it to editDistance(word, it) }
        .filter { (_, distance) -> distance <= maxOf(2, word.length / 3) }
        .minByOrNull { (_, distance) -> distance }
        ?.first

/** Levenshtein distance between [first] and [second]. */
private fun editDistance(
    first: String,
    second: String,
): Int {
    var previous = IntArray(second.length + 1) { it }
    for (i in 1..first.length) {
        val current = IntArray(second.length + 1)
        current[0] = i
        for (j in 1..second.length) {
            val substitution = previous[j - 1] + if (first[i - 1] == second[j - 1]) 0 else 1
            current[j] = minOf(previous[j] + 1, current[j - 1] + 1, substitution)
        }
        previous = current
    }
    return previous[second.length]
}
