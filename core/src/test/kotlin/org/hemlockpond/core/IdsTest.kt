package org.hemlockpond.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.json.Json

class IdsTest {
    /** Guards against ids that are serialized as objects, which would break stored records. */
    @Test
    fun idSerializesAsPlainString() {
        assertEquals("\"kla\"", Json.encodeToString(CustomerId.serializer(), CustomerId("kla")))
    }
}
