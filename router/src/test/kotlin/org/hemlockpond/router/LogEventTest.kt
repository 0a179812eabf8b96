package org.hemlockpond.router

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class LogEventTest {
    /** Guards against an event that operators find in the log but not in the catalogue. */
    @Test
    fun catalogueListsEveryEvent() {
        val row = Regex("\\| (HP\\d{4}) \\| `(\\w+)` \\| (\\w+) \\| ([^|]+) \\| .+ \\|")
        val listed = Files.readAllLines(Path.of("../docs/events.md"))
            .mapNotNull { row.matchEntire(it)?.destructured?.toList() }
        val events = LogEvent.entries.map { listOf(it.id, it.name, it.level.name, it.text) }
        assertEquals(events, listed)
    }

    /** Guards against two events under one number. */
    @Test
    fun numbersAreUnique() {
        assertEquals(LogEvent.entries.size, LogEvent.entries.map { it.number }.toSet().size)
    }
}
