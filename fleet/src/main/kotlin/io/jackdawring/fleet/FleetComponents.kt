package io.jackdawring.fleet

import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpTransport

/** Platform-specific components of an entry instance; the clients deliver results on the control thread. */
class FleetComponents(
    /** Transport whose single event loop is the control thread. */
    val controlTransport: HttpTransport,
    /** Transport for connections of callers. */
    val callerTransport: HttpTransport,
    val peerClient: HttpClient,
    val store: KeyValueStore,
    val targets: TargetClient,
    val storeCodec: StoreCodec,
    val callerCodec: CallerCodec,
)
