package pumicemoor.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a change of a watched file is reported, and reported once. */
class ConfigWatchTest {

    @TempDir
    Path folder;

    @Test
    void eachNewContentIsReportedOnceAlsoForAFileThatIsCreatedOrDeleted() throws Exception {
        Path existing = Files.writeString(folder.resolve("one"), "a");
        Path missing = folder.resolve("two");
        ConfigWatch watch = new ConfigWatch(List.of(existing, missing));
        assertFalse(watch.changed());
        Files.writeString(existing, "b");
        assertTrue(watch.changed());
        assertFalse(watch.changed());
        Files.writeString(missing, "c");
        assertTrue(watch.changed());
        Files.delete(existing);
        assertTrue(watch.changed());
        assertFalse(watch.changed());
    }
}
