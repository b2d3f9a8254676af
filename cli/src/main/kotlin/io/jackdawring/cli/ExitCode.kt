package io.jackdawring.cli

/** Exit codes of every subcommand; documented by `jackdawring help` and in `docs/OPERATIONS.md`. */
enum class ExitCode(
    val code: Int,
    val meaning: String,
) {
    OK(0, "success"),
    FAILED(1, "the job or the check failed"),
    USAGE(2, "wrong arguments or settings; nothing was done"),
    REFUSED(3, "refused; nothing of the request was run or published"),
    UNKNOWN(4, "the outcome is unknown; the request may have run"),
    PENDING(5, "published, but not confirmed by every entry instance within --wait"),
    CONFLICT(6, "another publisher was faster; nothing was published"),
    UNREACHABLE(7, "a needed address could not be reached; nothing was sent"),
    INTERNAL(70, "a fault in jackdawring itself"),
}
