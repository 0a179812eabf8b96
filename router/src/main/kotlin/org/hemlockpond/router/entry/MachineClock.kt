package org.hemlockpond.router.entry

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Clocks whose readings can be compared between successive processes on one machine. */
internal interface MachineClock {
    /** Milliseconds of the monotonic clock, which restarts when the machine boots. */
    fun steadyMillis(): Long

    /** Milliseconds of the wall clock, which may jump. */
    fun wallMillis(): Long

    /** An id that changes with each boot of the machine; null if not available. */
    val bootId: String?
}

internal class SystemMachineClock : MachineClock {
    override fun steadyMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    override fun wallMillis(): Long = System.currentTimeMillis()

    override val bootId: String? = try {
        Files.readString(Path.of(BOOT_ID_PATH)).trim()
    } catch (_: IOException) {
        // Only Linux has the file. Most reboots can still be detected from the clocks.
        null
    }

    private companion object {
        const val BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
    }
}
