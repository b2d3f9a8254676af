package io.jackdawring.server.json

import kotlinx.serialization.json.Json

/** Messages of peers and the platform; unknown keys are accepted so that releases can be mixed. */
internal val lenientJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }
