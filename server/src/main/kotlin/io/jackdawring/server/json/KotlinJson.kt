package io.jackdawring.server.json

import kotlinx.serialization.json.Json

/** For messages of peers and the platform; ignores unknown keys so that different releases can work together. */
internal val lenientJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }
