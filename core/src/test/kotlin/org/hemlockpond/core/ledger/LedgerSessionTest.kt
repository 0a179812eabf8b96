package org.hemlockpond.core.ledger

import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals

/** Run with `-Dhemlockpond.golden=write` to regenerate the golden file. */
class LedgerSessionTest {
    /** Guards against unintended changes in what routers send, store, release and credit. */
    @Test
    fun sessionMatchesGoldenFile() {
        val lines = ArrayList<String>()
        val faults = LedgerSimulation.Faults(partitions = true, deaths = true)
        LedgerSimulation(SEED, faults) { lines += it }.run()
        val session = lines.filterNot { " <- PeerReceived" in it || isAcknowledgement(it) }
            .joinToString("\n", postfix = "\n") { shorten(it) }
        val file = Path.of("src/test/resources/org/hemlockpond/core/ledger/session.txt")
        if (System.getProperty("hemlockpond.golden") == "write") {
            file.parent.createDirectories()
            file.writeText(session)
        }
        assertEquals(file.readText(), session)
    }

    private fun isAcknowledgement(line: String) = "items=[], spent={}" in line ||
        "CopySeen" in line || "ReportsSeen" in line

    private fun shorten(line: String) = line
        .replace("SendToPeer(to=", "SendToPeer(")
        .replace(Regex("AttemptId\\(router=(\\w+), number=(\\d+)\\)"), "$1/$2")

    private companion object {
        const val SEED = 1370L
    }
}
