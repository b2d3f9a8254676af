package io.jackdawring.server.json

import kotlinx.serialization.json.Json

/** For messages of peers, platform and operators; ignores unknown keys so that different releases work together. */
internal val lenientJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }
