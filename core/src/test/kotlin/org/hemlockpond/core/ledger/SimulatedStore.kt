package org.hemlockpond.core.ledger

import kotlin.random.Random
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** The platform store as run records need it: compare-and-swap by revision. */
internal class SimulatedStore(
    private val random: Random,
    private val world: LedgerWorld,
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
        world.after(random.nextLong(1, 6)) {
            val outcomes = HashMap<RequestId, RunWriteOutcome>()
            for (write in action.writes) {
                outcomes[write.request] = when {
                    node.storeCut || (lossy && random.nextInt(12) == 0) -> {
                        // The write may be lost, or take effect at any later time.
                        if (lossy && random.nextBoolean()) {
                            world.after(random.nextLong(1, 800)) { write(write) }
                        }
                        RunWriteOutcome.Unknown
                    }

                    else -> write(write).let {
                        if (lossy && random.nextInt(8) == 0) RunWriteOutcome.Unknown else it
                    }
                }
            }
            val event = LedgerEvent.RunRecordsWritten(action.number, outcomes)
            world.after(random.nextLong(1, 6)) { world.deliver(node, event) }
        }
    }

    fun readRecord(node: Node, request: RequestId) {
        world.after(random.nextLong(1, 6)) {
            val result = if (node.storeCut) RunRead.Failed else read(request)
            world.after(random.nextLong(1, 6)) {
                world.deliver(node, LedgerEvent.RunRecordRead(request, result))
            }
        }
    }

    fun commit(node: Node, action: LedgerAction.CommitSpend) {
        world.after(random.nextLong(1, 6)) {
            node.aloneAt = world.time
            val reached = !node.storeCut
            if (reached) epochs.merge(node.id, action.epoch, ::maxOf)
            world.deliver(node, LedgerEvent.SpendCommitted(action.number, reached))
        }
    }
}
