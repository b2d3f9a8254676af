package io.jackdawring.fleet

import io.jackdawring.server.http.HttpCall
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult

/** An HTTP client whose results are given by the test; a cancelled request ends with [cancelledResult]. */
internal class FakeHttpClient : HttpClient {
    val open = ArrayList<(HttpResult) -> Unit>()
    var cancelledResult: HttpResult = HttpResult.NoResponse("cancelled", cancelled = true)

    override fun send(
        address: String,
        request: HttpRequestMessage,
        timeoutMillis: Long,
        onResult: (HttpResult) -> Unit,
    ): HttpCall {
        open.add(onResult)
        return object : HttpCall {
            override fun cancel() {
                if (open.remove(onResult)) onResult(cancelledResult)
            }
        }
    }

    override fun close() = Unit
}
