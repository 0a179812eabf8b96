package org.hemlockpond.core

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class ErrorTableTest {
    /** Guards against an error page in the docs that differs from the code. */
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
