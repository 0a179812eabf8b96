package org.hemlockpond.core.ledger

import kotlin.random.Random
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** A simulated platform store for run records, with compare-and-swap by revision. */
internal class SimulatedStore(
    private val random: Random,
    private val simulation: LedgerSimulation,
    private val lossy: Boolean
) {
    private val records = HashMap<RequestId, Pair<RunRecord, Long>>()
    val epochs = HashMap<RouterId, Long>()
    private var revision = random.nextLong(1, 1_000)

    private fun read(request: RequestId): RunRead =
        records[request]?.let { RunRead.Found(it.first, it.second) } ?: RunRead.Absent

    private fun write(write: RunWrite): RunWriteOutcome {
        val known = records[write.request]?.second ?: 0
        if (known != write.expectedRevision) return RunWriteOutcome.Conflict
        records[write.request] = write.record to ++revision
        return RunWriteOutcome.Applied(revision)
    }

    fun writeRecords(node: Node, action: LedgerAction.WriteRunRecords) {
        simulation.schedule(random.nextLong(1, 6)) {
            val outcomes = HashMap<RequestId, RunWriteOutcome>()
            for (write in action.writes) {
                outcomes[write.request] = when {
                    node.isStoreCut || (lossy && random.nextInt(12) == 0) -> {
                        // The write may be lost or take effect later.
                        if (lossy && random.nextBoolean()) {
                            simulation.schedule(random.nextLong(1, 800)) { write(write) }
                        }
                        RunWriteOutcome.Unknown
                    }

                    else -> write(write).let {
                        if (lossy && random.nextInt(8) == 0) RunWriteOutcome.Unknown else it
                    }
                }
            }
            val event = LedgerEvent.RunRecordsWritten(action.number, outcomes)
            simulation.schedule(random.nextLong(1, 6)) { simulation.deliver(node, event) }
        }
    }

    fun readRecord(node: Node, request: RequestId) {
        simulation.schedule(random.nextLong(1, 6)) {
            val result = if (node.isStoreCut) RunRead.Failed else read(request)
            simulation.schedule(random.nextLong(1, 6)) {
                simulation.deliver(node, LedgerEvent.RunRecordRead(request, result))
            }
        }
    }

    fun commit(node: Node, action: LedgerAction.CommitSpend) {
        simulation.schedule(random.nextLong(1, 6)) {
            node.lastWithoutPeerAt = simulation.timeMillis
            val reached = !node.isStoreCut
            if (reached) epochs.merge(node.id, action.epoch, ::maxOf)
            simulation.deliver(node, LedgerEvent.SpendCommitted(action.number, reached))
        }
    }
}
