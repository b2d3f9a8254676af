package io.jackdawring.fleet

import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpTransport

/** What a platform provides to an entry instance; the clients' results arrive on the control thread. */
class FleetComponents(
    /** Connections of the control thread; has one event loop. */
    val controlTransport: HttpTransport,
    /** Connections of callers. */
    val callerTransport: HttpTransport,
    val peerClient: HttpClient,
    val store: KeyValueStore,
    val targets: TargetClient,
    val storeCodec: StoreCodec,
    val callerCodec: CallerCodec,
)
