package io.jackdawring.fleet

import io.jackdawring.server.http.HttpCall
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult

/** A client whose results are given by the test; a cancelled request ends as [ofCancelled]. */
internal class FakeHttpClient : HttpClient {
    val open = ArrayList<(HttpResult) -> Unit>()
    var ofCancelled: HttpResult = HttpResult.NoResponse("cancelled", cancelled = true)

    override fun send(
        address: String,
        request: HttpRequestMessage,
        timeoutMillis: Long,
        onResult: (HttpResult) -> Unit,
    ): HttpCall {
        open.add(onResult)
        return object : HttpCall {
            override fun cancel() {
                if (open.remove(onResult)) onResult(ofCancelled)
            }
        }
    }

    override fun close() = Unit
}
