/*
 * The durable run records of non-idempotent calls. Writes are grouped: at most one store call is
 * under way, and the next one carries everything that has come up meanwhile. A write whose outcome
 * is unknown is read back and recognised by the attempt that the record names.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId

internal class RunRecords(private val context: LedgerContext) {
    /** How the creation of a record ended. */
    sealed interface Started {
        data object Ours : Started
        data class Answered(val answer: RecordedAnswer) : Started
        data class Refused(val kind: ErrorKind) : Started
    }

    private enum class Step { QUEUED, WRITING, READ_DUE, READING }

    private class Task(
        val attempt: Attempt,
        val goal: RunRecord,
        var expected: Long,
        val since: Duration,
        val done: ((Started) -> Unit)?
    ) {
        var step = Step.QUEUED
        var sent = false
        var readAt: Duration = Duration.ZERO
    }

    private val tasks = LinkedHashMap<AttemptId, Task>()
    private var number = 0L
    private var written: Map<RequestId, Task> = emptyMap()
    private var writtenAt: Duration? = null
    private var lastWrite: Duration = -context.settings.storeInterval

    val size: Int get() = tasks.size

    /** Creates the record; [done] is called once, unless [giveUp] comes first. */
    fun start(attempt: Attempt, done: (Started) -> Unit) {
        val goal = RunRecord(attempt.customer, attempt.digest, attempt.id, RunState.STARTED)
        tasks[attempt.id] = Task(attempt, goal, 0, context.now, done)
    }

    /** The attempt is refused while its record may still come into being; it is marked not run. */
    fun giveUp(attempt: Attempt) {
        val task = tasks.remove(attempt.id) ?: return
        if (task.sent) notRun(attempt)
    }

    /** Marks the record of an attempt that sent nothing, so that a retry may run. */
    fun notRun(attempt: Attempt) = write(
        attempt,
        RunRecord(attempt.customer, attempt.digest, attempt.id, RunState.NOT_RUN)
    )

    fun finished(attempt: Attempt, used: Long, answer: RecordedAnswer?) = write(
        attempt,
        RunRecord(
            attempt.customer,
            attempt.digest,
            attempt.id,
            RunState.FINISHED,
            used,
            answer?.takeIf { it.body.length <= context.settings.answerLength }
        )
    )

    private fun write(attempt: Attempt, goal: RunRecord) {
        tasks[attempt.id] = Task(attempt, goal, attempt.recordRevision, context.now, null)
    }

    fun onWritten(number: Long, outcomes: Map<RequestId, RunWriteOutcome>) {
        if (number != this.number || writtenAt == null) return
        writtenAt = null
        val batch = written
        written = emptyMap()
        for ((request, task) in batch) {
            if (tasks[task.attempt.id] !== task) continue
            val outcome = outcomes[request]
            if (outcome is RunWriteOutcome.Applied) {
                applied(task, outcome.revision)
            } else {
                task.step = Step.READ_DUE
                task.readAt = context.now
            }
        }
        tick()
    }

    private fun applied(task: Task, revision: Long) {
        task.attempt.recordRevision = revision
        finish(task, Started.Ours)
    }

    private fun finish(task: Task, result: Started) {
        tasks.remove(task.attempt.id)
        task.done?.invoke(result)
    }

    fun onRead(request: RequestId, result: RunRead) {
        val reading = tasks.values.filter {
            it.attempt.request == request && it.step == Step.READING
        }
        for (task in reading) {
            when (result) {
                is RunRead.Found -> found(task, result.record, result.revision)

                RunRead.Absent -> {
                    task.expected = 0
                    task.step = Step.QUEUED
                }

                RunRead.Failed -> {
                    task.step = Step.READ_DUE
                    task.readAt = context.now + context.settings.storeInterval
                }
            }
        }
    }

    private fun found(task: Task, record: RunRecord, revision: Long) {
        val ours = record.attempt == task.attempt.id
        val kind = if (record.digest != task.goal.digest) {
            ErrorKind.KEY_REUSED
        } else {
            ErrorKind.OUTCOME_UNKNOWN
        }
        val answer = record.answer
        when {
            ours && record.state == task.goal.state -> applied(task, revision)

            task.goal.state != RunState.STARTED -> if (ours && record.state == RunState.STARTED) {
                task.expected = revision
                task.step = Step.QUEUED
            } else {
                finish(task, Started.Refused(kind))
            }

            record.state == RunState.NOT_RUN && !ours -> {
                task.expected = revision
                task.step = Step.QUEUED
            }

            kind == ErrorKind.OUTCOME_UNKNOWN && record.state == RunState.FINISHED &&
                answer != null -> finish(task, Started.Answered(answer))

            else -> finish(task, Started.Refused(kind))
        }
    }

    /** Sends due reads and the next group of writes. */
    fun tick() {
        val limit = context.settings.storeLimit
        writtenAt?.let { if (context.now - it >= limit) onWritten(number, emptyMap()) }
        if (tasks.isEmpty() || !context.storeReachable) return
        readDue(limit)
        if (writtenAt == null && context.now - lastWrite >= context.settings.storeInterval) {
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
        val batch = LinkedHashMap<RequestId, Task>()
        for (task in tasks.values) {
            if (task.step != Step.QUEUED || task.attempt.request in batch) continue
            batch[task.attempt.request] = task
            if (batch.size >= context.settings.batchSize) break
        }
        if (batch.isEmpty()) return
        for (task in batch.values) {
            task.step = Step.WRITING
            task.sent = true
        }
        written = batch
        writtenAt = context.now
        lastWrite = context.now
        val writes = batch.map { (request, task) -> RunWrite(request, task.expected, task.goal) }
        context.emit(LedgerAction.WriteRunRecords(++number, writes))
    }

    /** Gives up outcomes that the store couldn't take for longer than any retry is expected. */
    fun expire() {
        tasks.values.removeIf {
            it.done == null && context.now - it.since > context.settings.openWindow
        }
    }
}
