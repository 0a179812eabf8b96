/*
 * Applies the decisions of the stream window, which bounds the bytes held for slow readers, to the
 * connections of the traffic thread.
 */
package org.hemlockpond.router

import org.hemlockpond.core.RequestId
import org.hemlockpond.core.routing.StreamAction
import org.hemlockpond.core.routing.StreamWindow

/** All functions run on the traffic thread. */
internal class SlowReaders(
    private val window: StreamWindow,
    private val clock: RouterClock,
    private val control: StreamControl
) {
    /** Cancels and restarts streams at the engine; called on the traffic thread. */
    interface StreamControl {
        fun cancelAtEngine(request: RequestId)

        fun resume(request: RequestId)
    }

    private class Stream(var reader: UpstreamReader) {
        var reading = false
    }

    private val streams = HashMap<RequestId, Stream>()

    /** Bytes held for all readers; read by the metrics thread. */
    @Volatile
    var heldBytes: Long = 0
        private set

    /** Starts a stream, or goes on with it on the connection of a later attempt. */
    fun open(request: RequestId, reader: UpstreamReader) {
        val known = streams[request]
        if (known != null) {
            known.reader = reader
            reader.setReading(known.reading)
            return
        }
        streams[request] = Stream(reader)
        apply(window.open(request, clock.now()))
    }

    fun received(request: RequestId, bytes: Int) =
        apply(window.received(request, bytes, clock.now()))

    fun written(request: RequestId, bytes: Int) = apply(window.written(request, bytes, clock.now()))

    fun ended(request: RequestId) = apply(window.ended(request, clock.now()))

    fun close(request: RequestId) {
        streams.remove(request)
        apply(window.close(request, clock.now()))
    }

    fun tick() = apply(window.tick(clock.now()))

    private fun apply(actions: List<StreamAction>) {
        for (action in actions) {
            when (action) {
                is StreamAction.PauseReading -> setReading(action.request, false)

                is StreamAction.ContinueReading -> setReading(action.request, true)

                is StreamAction.CancelAtEngine -> control.cancelAtEngine(action.request)

                is StreamAction.ResumeFrom -> {
                    streams[action.request]?.reading = true
                    control.resume(action.request)
                }
            }
        }
        heldBytes = window.heldBytes
    }

    private fun setReading(request: RequestId, reading: Boolean) {
        val stream = streams[request] ?: return
        stream.reading = reading
        stream.reader.setReading(reading)
    }
}
