/*
 * The message by which the reader of a failure domain passes the reports of engines on to the other
 * hosts. Each report takes 13 bytes, so that those of 90 engines fit into one Ethernet frame.
 */
package org.hemlockpond.router.entry

import java.nio.ByteBuffer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.hemlockpond.core.entry.EndpointProcess
import org.hemlockpond.core.entry.EngineReport

/** A report that was read at [takenAt] on this host's clock. */
internal class TakenReport(
    val process: EndpointProcess,
    val report: EngineReport,
    val takenAt: Duration
)

/** Reports in a packed form; [unpack] reverses [pack]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class EngineReportMessage(@ByteString val packed: ByteArray) {
    /**
     * Returns the reports of engines that are in [processes], the known ones by [keyOf]; the others are
     * left out. An odd length means another format, and no report.
     */
    fun unpack(processes: Map<Int, EndpointProcess>, now: Duration): List<TakenReport> {
        if (packed.size % REPORT_BYTES != 0) return emptyList()
        val buffer = ByteBuffer.wrap(packed)
        return buildList {
            while (buffer.hasRemaining()) {
                val key = buffer.getInt()
                val age = AGE_UNIT * buffer.unsignedByte()
                val waiting = buffer.unsignedShort()
                val active = buffer.unsignedShort()
                val unread = buffer.unsignedShort() * TOKEN_UNIT
                val free = buffer.unsignedShort() * TOKEN_UNIT
                val process = processes[key] ?: continue
                add(TakenReport(process, EngineReport(waiting, active, unread, free), now - age))
            }
        }
    }

    companion object {
        /** The reports in one message; with the frame around them they stay below 1,400 bytes. */
        const val MAX_REPORTS = 80
        private const val REPORT_BYTES = 13
        private const val BYTE = 0xFF
        private const val SHORT = 0xFFFF
        private const val TOKEN_UNIT = 64L
        private val AGE_UNIT = 10.milliseconds

        /** Identifies a process in a message; two of some hundred engines rarely have the same key. */
        fun keyOf(process: EndpointProcess): Int =
            process.endpoint.value.hashCode() * 31 + process.startedMillis.hashCode()

        fun pack(reports: List<TakenReport>, now: Duration): List<EngineReportMessage> =
            reports.chunked(MAX_REPORTS).map { chunk ->
                val buffer = ByteBuffer.allocate(chunk.size * REPORT_BYTES)
                chunk.forEach { buffer.put(it, now) }
                EngineReportMessage(buffer.array())
            }

        private fun ByteBuffer.put(taken: TakenReport, now: Duration) {
            val report = taken.report
            val age = ((now - taken.takenAt) / AGE_UNIT).toInt().coerceIn(0, BYTE)
            putInt(keyOf(taken.process))
            put(age.toByte())
            putShort(report.waiting.coerceIn(0, SHORT).toShort())
            putShort(report.active.coerceIn(0, SHORT).toShort())
            putShort((report.unreadTokens / TOKEN_UNIT).coerceIn(0, SHORT.toLong()).toShort())
            putShort((report.freeTokens / TOKEN_UNIT).coerceIn(0, SHORT.toLong()).toShort())
        }

        private fun ByteBuffer.unsignedByte() = get().toInt() and BYTE

        private fun ByteBuffer.unsignedShort() = getShort().toInt() and SHORT
    }
}
