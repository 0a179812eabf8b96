package org.hemlockpond.router

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.hemlockpond.core.budget.BudgetRecord

class StoredRecordsTest {
    private val type = BudgetRecord.serializer()

    private fun decode(text: String) = decodeRecord(type, "key", text)

    @Test
    fun recordIsReadAsItWasWritten() {
        val record = BudgetRecord(mapOf("p" to 5), closedSpent = 2)
        assertEquals(record, decode(encodeRecord(type, record)))
    }

    /** Guards against a router that can't spend while a newer version runs beside it. */
    @Test
    fun fieldsOfANewerVersionAreIgnored() {
        assertEquals(
            BudgetRecord(closedSpent = 2),
            decode("""{"closedSpent":2,"addedLater":[1]}""")
        )
    }

    @Test
    fun unreadableRecordIsNull() {
        assertNull(decode("{"))
        assertNull(decode("""{"closedSpent":"many"}"""))
        assertNull(decode("""{"slices":{"h":{"granted":1}}}"""))
    }
}
