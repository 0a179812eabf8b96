package org.hemlockpond.router.entry

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Time that successive processes on one machine can compare. */
internal interface MachineClock {
    /** Milliseconds on the steady clock, which starts anew with the machine. */
    fun steadyMillis(): Long

    /** The time of day in milliseconds; it may jump. */
    fun wallMillis(): Long

    /** Changes with each start of the machine; null if the system doesn't tell. */
    val bootId: String?
}

internal class SystemMachineClock : MachineClock {
    override fun steadyMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    override fun wallMillis(): Long = System.currentTimeMillis()

    override val bootId: String? = try {
        Files.readString(Path.of(BOOT_ID_PATH)).trim()
    } catch (_: IOException) {
        // Only Linux has the file. The clocks still show most restarts of a machine.
        null
    }

    private companion object {
        const val BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
    }
}
