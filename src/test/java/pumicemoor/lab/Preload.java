package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Builds libraries that inject faults into processes under test (LD_PRELOAD), with the system's C compiler; without one
 * the test is skipped.
 */
final class Preload {

    private Preload() {}

    static Path build(Path folder, String source) throws IOException, InterruptedException {
        assumeTrue(hasCompiler(), "not run: there is no C compiler to build " + source + " with");
        Path copy = folder.resolve(source);
        try (InputStream input = Preload.class.getResourceAsStream(source)) {
            Files.copy(input, copy);
        }
        Path library = folder.resolve(source.replace(".c", ".so"));
        int exitCode = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), copy.toString())
                .inheritIO()
                .start()
                .waitFor();
        assertEquals(0, exitCode, "the compiler's exit code");
        return library;
    }

    private static boolean hasCompiler() throws InterruptedException {
        try {
            return new ProcessBuilder("cc", "--version")
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                            .start()
                            .waitFor()
                    == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
