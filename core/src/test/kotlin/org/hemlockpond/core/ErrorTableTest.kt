package org.hemlockpond.core

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class ErrorTableTest {
    /** Guards against a page of errors that promises callers something else than the code does. */
    @Test
    fun pageShowsTheTableOfTheCode() {
        val rows = Files.readAllLines(Path.of("../docs/errors.md")).filter { it.startsWith("| `") }
        val expected = ErrorKind.entries.map {
            val again = if (it.retryable) "yes" else "no"
            "| `${it.code}` | ${it.status} | `${it.execution.code}` | $again | ${it.message} |"
        }
        assertEquals(expected, rows)
    }
}
