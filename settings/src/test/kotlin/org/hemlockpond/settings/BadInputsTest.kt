package org.hemlockpond.settings

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.exists
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * Runs the cases of bad-inputs.txt and compares the errors with bad-inputs.golden.txt. With
 * `-Dgolden.update=true` the test rewrites the golden file and fails, so that an update can't pass
 * as a successful run.
 */
class BadInputsTest {
    private data class Case(val name: String, val files: Map<String, String>)

    /** Guards against errors that lose their position, name the wrong key or hide other errors. */
    @Test
    fun everyBadInputHasLocatedErrors() {
        val actual = cases().joinToString("\n") { case ->
            "=== ${case.name}\n" + errors(case).joinToString("") { "$it\n" }
        }
        val golden = Path.of("src/test/resources/bad-inputs.golden.txt")
        if (System.getProperty("golden.update") == "true") {
            golden.writeText(actual)
            error("bad-inputs.golden.txt was rewritten; compare it and run again")
        }
        assertEquals(Files.readString(golden), actual)
    }

    /** Guards against a pasted bearer key that an error message writes to a terminal or a log. */
    @Test
    fun errorsDoNotShowTextInPlaceOfDigests() {
        val all = cases().flatMap(::errors)
        assertTrue(all.none { "pasted-by-mistake" in it.toString() })
    }

    /** Guards against a column or line that is counted in bytes or lost before a decoding error. */
    @Test
    fun invalidUtf8IsLocated() {
        val file = Files.createTempFile("settings", ".json")
        Files.write(file, "{\n\"é".toByteArray() + byteArrayOf(0xC3.toByte(), 0x28))
        val result = assertIs<SettingsResult.Invalid>(loadRouterSettings(file))
        assertEquals(listOf(2 to 3), result.errors.map { it.line to it.column })
    }

    private fun cases(): List<Case> {
        val text = checkNotNull(javaClass.getResource("/bad-inputs.txt")).readText()
        return text.split(Regex("(?m)^=== ")).drop(1).map { case ->
            val parts = case.split(Regex("(?m)^--- "))
            val files = parts.drop(1).associate {
                it.substringBefore('\n') to it.substringAfter('\n').trimEnd()
            }
            Case(parts.first().trim(), files)
        }
    }

    private fun errors(case: Case): List<SettingsError> {
        val directory = Files.createTempDirectory("settings")
        for ((name, content) in case.files) {
            directory.resolve(name).also { it.parent.createDirectories() }.writeText(content)
        }
        val router = directory.resolve("router.json")
        val result = if (router.exists()) {
            loadRouterSettings(
                router
            )
        } else {
            loadDeclarations(directory)
        }
        val errors = assertIs<SettingsResult.Invalid>(result, case.name).errors
        directory.toFile().deleteRecursively()
        return errors.map { it.copy(file = it.file.removePrefix("$directory/")) }
            .map { it.copy(found = it.found.replace("$directory/", "")) }
    }
}
