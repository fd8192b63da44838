package pumicemoor.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigWatchTest {

    @TempDir
    Path folder;

    @Test
    void eachNewContentIsOneChangeAlsoThatOfAFileThatComesAndGoes() throws Exception {
        Path one = Files.writeString(folder.resolve("one"), "a");
        Path two = folder.resolve("two");
        ConfigWatch watch = new ConfigWatch(List.of(one, two));
        assertFalse(watch.changed());
        Files.writeString(one, "b");
        assertTrue(watch.changed());
        assertFalse(watch.changed());
        Files.writeString(two, "c");
        assertTrue(watch.changed());
        Files.delete(one);
        assertTrue(watch.changed());
        assertFalse(watch.changed());
    }
}
