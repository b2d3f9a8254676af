package io.jackdawring.core.configuration

/** The one of [candidates] with the smallest edit distance to [word], or null if none is close enough for a typo. */
fun nearestWord(
    word: String,
    candidates: Collection<String>,
): String? =
    candidates
        .map { it to editDistance(word.lowercase(), it.lowercase()) }
        .filter { (candidate, distance) -> distance <= maxOf(2, candidate.length / 3) }
        .minByOrNull { (_, distance) -> distance }
        ?.first

/** Levenshtein distance between [left] and [right]. */
private fun editDistance(
    left: String,
    right: String,
): Int {
    var previous = IntArray(right.length + 1) { it }
    for (i in 1..left.length) {
        val row = IntArray(right.length + 1)
        row[0] = i
        for (j in 1..right.length) {
            val substitution = previous[j - 1] + if (left[i - 1] == right[j - 1]) 0 else 1
            row[j] = minOf(substitution, previous[j] + 1, row[j - 1] + 1)
        }
        previous = row
    }
    return previous[right.length]
}
