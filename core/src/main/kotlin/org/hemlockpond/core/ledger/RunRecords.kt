/*
 * The durable run records of non-idempotent calls. Writes are batched: at most one write call is in
 * progress, and the next one carries the writes queued meanwhile. If the outcome of a write is
 * unknown, the record is read back; the attempt ID in the record shows whose write took effect.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId

internal class RunRecords(private val context: LedgerContext) {
    /** The outcome of a write; only [create] passes it to its caller, updates ignore it. */
    sealed interface StartResult {
        data object Created : StartResult
        data class Answered(val answer: RecordedAnswer) : StartResult
        data class Refused(val kind: ErrorKind) : StartResult
    }

    private enum class Step { QUEUED, WRITING, READ_DUE, READING }

    private class WriteTask(
        val attempt: Attempt,
        val wantedRecord: RunRecord,
        var expectedRevision: Long,
        val createdAt: Duration,
        val onDone: ((StartResult) -> Unit)?
    ) {
        var step = Step.QUEUED
        var wasSent = false
        var readAt: Duration = Duration.ZERO
    }

    private val tasks = LinkedHashMap<AttemptId, WriteTask>()
    private var lastBatchNumber = 0L
    private var writingBatch: Map<RequestId, WriteTask> = emptyMap()
    private var batchSentAt: Duration? = null
    private var lastWriteAt: Duration = -context.settings.storeInterval

    val size: Int get() = tasks.size

    /** Creates the record; [onDone] is called once, unless [giveUp] comes first. */
    fun create(attempt: Attempt, onDone: (StartResult) -> Unit) {
        val wantedRecord = RunRecord(attempt.customer, attempt.digest, attempt.id, RunState.STARTED)
        tasks[attempt.id] = WriteTask(attempt, wantedRecord, 0, context.now, onDone)
    }

    /** Stops a pending write. If it may have been sent, the record is then marked as not run. */
    fun giveUp(attempt: Attempt) {
        val task = tasks.remove(attempt.id) ?: return
        if (task.wasSent) markNotRun(attempt)
    }

    /** Marks the record as [RunState.NOT_RUN], which allows a retry to run the call. */
    fun markNotRun(attempt: Attempt) = write(
        attempt,
        RunRecord(attempt.customer, attempt.digest, attempt.id, RunState.NOT_RUN)
    )

    fun markFinished(attempt: Attempt, used: Long, answer: RecordedAnswer?) = write(
        attempt,
        RunRecord(
            attempt.customer,
            attempt.digest,
            attempt.id,
            RunState.FINISHED,
            used,
            answer?.takeIf { it.body.length <= context.settings.maxAnswerChars }
        )
    )

    private fun write(attempt: Attempt, wantedRecord: RunRecord) {
        tasks[attempt.id] =
            WriteTask(attempt, wantedRecord, attempt.recordRevision, context.now, null)
    }

    fun onWritten(number: Long, outcomes: Map<RequestId, RunWriteOutcome>) {
        if (number != lastBatchNumber || batchSentAt == null) return
        batchSentAt = null
        val batch = writingBatch
        writingBatch = emptyMap()
        for ((request, task) in batch) {
            if (tasks[task.attempt.id] !== task) continue
            val outcome = outcomes[request]
            if (outcome is RunWriteOutcome.Applied) {
                onApplied(task, outcome.revision)
            } else {
                task.step = Step.READ_DUE
                task.readAt = context.now
            }
        }
        tick()
    }

    private fun onApplied(task: WriteTask, revision: Long) {
        task.attempt.recordRevision = revision
        finish(task, StartResult.Created)
    }

    private fun finish(task: WriteTask, result: StartResult) {
        tasks.remove(task.attempt.id)
        task.onDone?.invoke(result)
    }

    fun onRead(request: RequestId, result: RunRead) {
        val reading = tasks.values.filter {
            it.attempt.request == request && it.step == Step.READING
        }
        for (task in reading) {
            when (result) {
                is RunRead.Found -> onFound(task, result.record, result.revision)

                RunRead.Absent -> {
                    task.expectedRevision = 0
                    task.step = Step.QUEUED
                }

                RunRead.Failed -> {
                    task.step = Step.READ_DUE
                    task.readAt = context.now + context.settings.storeInterval
                }
            }
        }
    }

    private fun onFound(task: WriteTask, record: RunRecord, revision: Long) {
        val ours = record.attempt == task.attempt.id
        // OUTCOME_UNKNOWN also shows below that the record has the same digest.
        val kind = if (record.digest != task.wantedRecord.digest) {
            ErrorKind.KEY_REUSED
        } else {
            ErrorKind.OUTCOME_UNKNOWN
        }
        val answer = record.answer
        when {
            ours && record.state == task.wantedRecord.state -> onApplied(task, revision)

            task.wantedRecord.state != RunState.STARTED -> if (ours &&
                record.state == RunState.STARTED
            ) {
                task.expectedRevision = revision
                task.step = Step.QUEUED
            } else {
                finish(task, StartResult.Refused(kind))
            }

            record.state == RunState.NOT_RUN && !ours -> {
                task.expectedRevision = revision
                task.step = Step.QUEUED
            }

            kind == ErrorKind.OUTCOME_UNKNOWN && record.state == RunState.FINISHED &&
                answer != null -> finish(task, StartResult.Answered(answer))

            else -> finish(task, StartResult.Refused(kind))
        }
    }

    /** Sends the reads that are due and the next batch of writes. */
    fun tick() {
        val limit = context.settings.storeTimeout
        batchSentAt?.let { if (context.now - it >= limit) onWritten(lastBatchNumber, emptyMap()) }
        if (tasks.isEmpty() || !context.storeReachable) return
        readDue(limit)
        if (batchSentAt == null && context.now - lastWriteAt >= context.settings.storeInterval) {
            writeNext()
        }
    }

    private fun readDue(limit: Duration) {
        for (task in tasks.values) {
            val lost = task.step == Step.READING && context.now - task.readAt >= limit
            val due = task.step == Step.READ_DUE && task.readAt <= context.now
            if (!lost && !due) continue
            task.step = Step.READING
            task.readAt = context.now
            context.emit(LedgerAction.ReadRunRecord(task.attempt.request))
        }
    }

    private fun writeNext() {
        val batch = LinkedHashMap<RequestId, WriteTask>()
        for (task in tasks.values) {
            if (task.step != Step.QUEUED || task.attempt.request in batch) continue
            batch[task.attempt.request] = task
            if (batch.size >= context.settings.batchSize) break
        }
        if (batch.isEmpty()) return
        for (task in batch.values) {
            task.step = Step.WRITING
            task.wasSent = true
        }
        writingBatch = batch
        batchSentAt = context.now
        lastWriteAt = context.now
        val writes = batch.map { (request, task) ->
            RunWrite(request, task.expectedRevision, task.wantedRecord)
        }
        context.emit(LedgerAction.WriteRunRecords(++lastBatchNumber, writes))
    }

    /** Drops updates that couldn't be written within [LedgerSettings.openWindow]. */
    fun expire() {
        tasks.values.removeIf {
            it.onDone == null && context.now - it.createdAt > context.settings.openWindow
        }
    }
}
